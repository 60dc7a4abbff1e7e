//! Parsing of the settings of a gateway, which the platform fills into a template.

use coursestile::gateway::settings::Settings;

fn parse_with_bounds(bounds: &str) -> Result<Settings, String> {
    let text = format!(
        "[box]\nname = a\nhall = north\nclients = 127.0.0.1:1\nready = 127.0.0.1:2\n\
         peers = 127.0.0.1:3\nseeds =\ncores =\n[platform]\naddress = 127.0.0.1:4\n\
         [bounds]\n{bounds}\n"
    );
    Settings::parse("box.ini", &text).map_err(|error| error.to_string())
}

#[test]
fn fractions_read() {
    let bounds = "stop_s = 7.5\nretry_window_s = 10\nlease_ms = 2999.6\nweights_apply_ms = 1e4";
    let bounds = parse_with_bounds(bounds).unwrap().bounds;
    assert_eq!((bounds.stop_ms, bounds.retry_window_ms), (7500, 10_000));
    assert_eq!((bounds.lease_ms, bounds.weights_apply_ms), (3000, 10_000));
}

#[test]
fn gaps_default() {
    let settings = parse_with_bounds("stop_s =\nlease_ms =").unwrap();
    assert_eq!((settings.bounds.stop_ms, settings.bounds.lease_ms), (8000, 3000));
    assert!(settings.seeds.is_empty());
    assert!((settings.cores - 1.0).abs() < f64::EPSILON);
}

#[test]
fn nonsense_found() {
    let error =
        parse_with_bounds("stop_s = -1\nlease_ms = soon\nretry_window_s = NaN").unwrap_err();
    for finding in
        ["stop_s: not a valid duration", "lease_ms: 'soon'", "retry_window_s: not a valid"]
    {
        assert!(error.contains(finding), "{finding} in {error}");
    }
}

/// The template cannot compare, so the key has the contracts of the deployment.
#[test]
fn contracts_read() {
    for (value, expected) in
        [("", false), ("true", true), ("cold, pressure", true), ("cold", false)]
    {
        let settings = parse_with_bounds(&format!("[load]\nslow_readers = {value}")).unwrap();
        assert_eq!(settings.slow_readers, expected, "{value}");
    }
    assert!(!parse_with_bounds("").unwrap().slow_readers);
}
