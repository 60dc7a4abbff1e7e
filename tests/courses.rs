//! Prefix chains of prompts: how much of two prompts is known to be equal, and which prompts
//! must not be found to share anything.

use coursestile::context::{PrefixChain, Scope, cache_salt};
use rstest::rstest;

const BLOCK_BYTES: usize = 1024;

fn scope(account: &str, version: &str) -> Scope {
    let (account, version) = (account.to_owned(), version.to_owned());
    Scope { account, model: "m".to_owned(), version }
}

/// A prompt with one block of equal letters for each letter.
fn prompt(letters: &str) -> String {
    letters.chars().map(|letter| letter.to_string().repeat(BLOCK_BYTES)).collect()
}

fn chain(letters: &str) -> PrefixChain {
    PrefixChain::new(&scope("a", "v1"), &prompt(letters))
}

#[rstest]
#[case("abcd", "abcd", 4, true)]
#[case("abcd", "ab", 2, true)]
#[case("abcd", "abxx", 2, false)]
#[case("abcd", "xbcd", 0, false)]
#[case("abcd", "", 0, false)]
fn common_start(
    #[case] first: &str,
    #[case] second: &str,
    #[case] blocks: u32,
    #[case] continues: bool,
) {
    let (first, second) = (chain(first), chain(second));
    assert_eq!(first.common_tokens(&second), blocks * 256);
    assert_eq!(second.common_tokens(&first), blocks * 256);
    assert_eq!(first.continues(&second), continues);
}

#[rstest]
#[case(30, 40, 30)]
#[case(31, 40, 30)]
#[case(40, 200, 40)]
#[case(63, 130, 56)]
fn strides_differ(#[case] short: usize, #[case] long: usize, #[case] blocks: u32) {
    let letters: String = ('a'..='z').cycle().take(long).collect();
    let (short, long) = (chain(&letters[..short]), chain(&letters));
    assert_eq!(short.root, long.root, "a prompt keeps its root while it grows");
    assert_eq!(short.common_tokens(&long), blocks * 256);
    assert!(short.continues(&long) && long.continues(&short));
}

#[test]
fn scopes_apart() {
    let text = prompt("abcd");
    let own_chain = PrefixChain::new(&scope("a", "v1"), &text);
    for other_scope in [scope("b", "v1"), scope("a", "v2")] {
        let other_chain = PrefixChain::new(&other_scope, &text);
        assert_ne!(own_chain.root, other_chain.root);
        assert_eq!(own_chain.common_tokens(&other_chain), 0);
        assert_ne!(cache_salt(&scope("a", "v1")), cache_salt(&other_scope));
    }
}
