//! Runs one stand-in as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use standin::engine::{self, Engine, Fencing};
use standin::plain::Plain;
use standin::store::Store;
use tokio::net::TcpListener;

/// Stand-ins for the systems around rhubarblatch, for tests.
#[derive(FromArgs)]
struct Args {
    /// address to listen on, port 0 for any
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    #[argh(subcommand)]
    role: Role,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Role {
    Store(StoreArgs),
    Engine(EngineArgs),
    Plain(PlainArgs),
}

/// The platform's store.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArgs {}

/// A plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
struct PlainArgs {}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// the store whose list of instances it enters
    #[argh(option)]
    store: SocketAddr,
    /// the instance's name
    #[argh(option)]
    instance: String,
    /// the failure domain it runs in
    #[argh(option)]
    failure_domain: String,
    /// the fabric domain it shares with others
    #[argh(option)]
    fabric_domain: String,
    /// carry out orders with an old epoch
    #[argh(switch)]
    ignore_epoch: bool,
    /// milliseconds between two tokens
    #[argh(option, default = "2")]
    token_ms: u64,
    /// requests in progress that it bears while it is cold
    #[argh(option, default = "2")]
    cold_limit: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(argh::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> anyhow::Result<()> {
    let listener = TcpListener::bind(args.listen).await?;
    let address = listener.local_addr()?;
    match args.role {
        Role::Store(StoreArgs {}) => {
            println!("listening on {address}");
            Store::new().serve(listener).await;
        }
        Role::Plain(PlainArgs {}) => {
            println!("listening on {address}");
            Plain::new().serve(listener).await;
        }
        Role::Engine(args) => {
            let store = args.store;
            let engine = Engine::new(args.config());
            engine.register(store, address).await?;
            println!("listening on {address}");
            engine.serve(listener).await;
        }
    }
    Ok(())
}

impl EngineArgs {
    fn config(self) -> engine::Config {
        engine::Config {
            instance: self.instance,
            failure_domain: self.failure_domain,
            fabric_domain: self.fabric_domain,
            fencing: if self.ignore_epoch { Fencing::Ignored } else { Fencing::Checked },
            token: Duration::from_millis(self.token_ms),
            cold_limit: self.cold_limit,
            ..engine::Config::default()
        }
    }
}
