//! The entry daemon: reads its settings, runs one entry and stops it on a signal.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use rhubarblatchd::settings::{Level, Settings};
use rhubarblatchd::{Daemon, Error, Secrets, logging};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings or arguments that cannot be used.
const USAGE: u8 = 2;

/// Serves callers, operators and peers as one entry of rhubarblatch.
#[derive(FromArgs)]
struct Args {
    /// settings file, JSON
    #[argh(positional)]
    settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
    /// log at the debug level, whatever the settings say
    #[argh(switch, short = 'v')]
    verbose: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(argh::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rhubarblatchd: {error}");
            if error.is_usage() { ExitCode::from(USAGE) } else { ExitCode::FAILURE }
        }
    }
}

async fn run(args: Args) -> Result<(), Error> {
    let mut settings = Settings::read(&args.settings)?;
    if args.verbose {
        settings.log.level = Level::Debug;
    }
    let secrets = Secrets::read(&settings)?;
    if args.check {
        println!("{} is valid", args.settings.display());
        return Ok(());
    }
    logging::install(&settings.log)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
    let mut daemon = Daemon::start(settings, secrets).await?;
    let addresses = daemon.addresses();
    println!(
        "listening callers={} operators={} peers={}",
        addresses.callers, addresses.operators, addresses.peers
    );
    let result = tokio::select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
        error = daemon.failed() => Err(error),
    };
    if let Err(error) = &result {
        log::error!("stops: {error}");
    }
    daemon.stop().await;
    result
}
