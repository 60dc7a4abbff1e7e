pub fn run() -> std::process::ExitCode {
    std::process::ExitCode::SUCCESS
}
