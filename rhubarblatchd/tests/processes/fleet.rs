//! Runs a small system as separate processes on loopback.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use anyhow::{Context as _, Result, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::time;

/// What operators present.
const OPERATOR_TOKEN: &str = "operators-secret";

/// Longest wait for a state that must come.
const PATIENCE: Duration = Duration::from_secs(90);

const POLL: Duration = Duration::from_millis(100);

/// A process that ends with its owner.
pub(crate) struct Process {
    child: Child,
    /// What it printed first: its addresses.
    pub(crate) greeting: String,
}

/// An entry process and its addresses.
pub(crate) struct Entry {
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
}

/// A store, engines, a plain service and entries.
pub(crate) struct Fleet {
    pub(crate) store: SocketAddr,
    pub(crate) plain: SocketAddr,
    pub(crate) engines: Vec<(Process, SocketAddr)>,
    pub(crate) entries: Vec<Entry>,
    /// Ends with the fleet.
    _processes: Vec<Process>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a store, a plain service, `engines` engines in one fabric domain, and `entries`.
    pub(crate) fn start(name: &str, engines: usize, entries: usize) -> Result<Fleet> {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder)?;
        let (store, address) = standin(&["store"])?;
        let (plain, plain_address) = standin(&["plain"])?;
        let mut fleet = Fleet {
            store: address,
            plain: plain_address,
            engines: Vec::new(),
            entries: Vec::new(),
            _processes: vec![store, plain],
            folder,
        };
        for number in 1..=engines {
            fleet.start_engine(number, &[])?;
        }
        for number in 1..=entries {
            fleet.start_entry(number)?;
        }
        Ok(fleet)
    }

    /// Starts an engine with further arguments.
    pub(crate) fn start_engine(&mut self, number: usize, arguments: &[&str]) -> Result<()> {
        let store = self.store.to_string();
        let instance = format!("engine-{number}");
        let mut all = vec!["engine", "--store", &store, "--instance", &instance];
        all.extend([
            "--failure-domain",
            "riga-a",
            "--fabric-domain",
            "riga-a-1",
            "--cold-limit",
            "16",
        ]);
        all.extend(arguments);
        self.engines.push(standin(&all)?);
        Ok(())
    }

    /// Starts an entry.
    pub(crate) fn start_entry(&mut self, number: usize) -> Result<()> {
        self.start_impatient_entry(number, 30_000)
    }

    /// Starts an entry that waits `stop_ms` for what is in progress when it is told to stop.
    pub(crate) fn start_impatient_entry(&mut self, number: usize, stop_ms: u64) -> Result<()> {
        let settings = json!({
            "name": format!("entry-{number}"),
            "failure_domain": "riga-a",
            "listen": {
                "callers": "127.0.0.1:0",
                "operators": "127.0.0.1:0",
                "peers": "127.0.0.1:0",
            },
            "platform": { "address": self.store },
            "tokens": {
                "operators": { "env": "RHUBARBLATCH_OPERATOR_TOKEN" },
                "peers": { "env": "RHUBARBLATCH_PEER_TOKEN" },
            },
            "timing": { "stop_ms": stop_ms },
        });
        let file = self.folder.join(format!("entry-{number}.json"));
        std::fs::write(&file, settings.to_string())?;
        let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarblatchd"));
        command.arg(&file);
        let process = Process::start(&mut command)?;
        let address = |listener: &str| {
            let mut parts = process.greeting.split_whitespace();
            let part = parts.find_map(|part| part.strip_prefix(&format!("{listener}=")));
            anyhow::Ok(part.context("no address")?.parse()?)
        };
        self.entries.push(Entry {
            callers: address("callers")?,
            operators: address("operators")?,
            process,
        });
        Ok(())
    }

    /// Writes `declarations` to a file and runs the command-line tool on it.
    pub(crate) fn apply(&self, declarations: &Value) -> Result<Output> {
        let file = self.folder.join("declarations.json");
        std::fs::write(&file, declarations.to_string())?;
        self.operate(&["apply", "--wait", &file.to_string_lossy()])
    }

    /// Waits until every entry is listed and has confirmed the newest generation.
    pub(crate) async fn settled(&self) -> Result<()> {
        let deadline = time::Instant::now() + PATIENCE;
        loop {
            let output = self.operate(&["status", "--json"])?;
            let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
            let confirmed = status["confirmed"].as_array().map_or(0, Vec::len);
            if confirmed == self.entries.len() {
                return Ok(());
            }
            ensure!(time::Instant::now() < deadline, "not settled in time: {status}");
            time::sleep(POLL).await;
        }
    }

    /// Runs the command-line tool against the first entry.
    pub(crate) fn operate(&self, arguments: &[&str]) -> Result<Output> {
        let entry = self.entries[0].operators.to_string();
        let mut command = Command::new(binary("rhubarblatch")?);
        command.args(["--entry", &entry]).args(arguments);
        command.env("RHUBARBLATCH_OPERATOR_TOKEN", OPERATOR_TOKEN);
        Ok(command.output()?)
    }

    /// A count of all engines together.
    pub(crate) async fn engine_count(&self, name: &str) -> Result<u64> {
        let mut sum = 0;
        for (_, address) in &self.engines {
            sum += read(*address, "/counts").await?[name].as_u64().unwrap_or_default();
        }
        Ok(sum)
    }

    /// Sends a request to the entry number `entry`, from 0, until it is served.
    pub(crate) async fn served(
        &self,
        entry: usize,
        request: Request<Full<Bytes>>,
    ) -> Result<String> {
        let deadline = time::Instant::now() + PATIENCE;
        loop {
            let (status, body) = self.send(entry, request.clone()).await?;
            if status == 200 {
                return Ok(body);
            }
            ensure!(time::Instant::now() < deadline, "not served in time: {status} {body}");
            time::sleep(POLL).await;
        }
    }

    /// Sends a request to the entry number `entry`, from 0.
    pub(crate) async fn send(
        &self,
        entry: usize,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(u16, String)> {
        let path = request.uri().path().to_owned();
        let uri = format!("http://{}{path}", self.entries[entry].callers);
        *request.uri_mut() = uri.parse()?;
        send(request).await
    }
}

impl Process {
    fn start(command: &mut Command) -> Result<Process> {
        command.env("RHUBARBLATCH_OPERATOR_TOKEN", OPERATOR_TOKEN);
        command.env("RHUBARBLATCH_PEER_TOKEN", "peers-secret");
        let mut child = command.stdout(Stdio::piped()).spawn()?;
        let mut greeting = String::new();
        let output = child.stdout.as_mut().context("no output")?;
        BufReader::new(output).read_line(&mut greeting)?;
        Ok(Process { child, greeting })
    }

    /// Sends the signal `name`, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) -> Result<()> {
        let status = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        ensure!(status?.success(), "signal {name} not sent");
        Ok(())
    }

    /// Waits until the process ends and returns its exit code.
    pub(crate) fn wait(&mut self) -> Result<Option<i32>> {
        Ok(self.child.wait()?.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Sends one request and reads the whole answer.
pub(crate) async fn send(request: Request<Full<Bytes>>) -> Result<(u16, String)> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map(|body| body.to_bytes());
    Ok((status, String::from_utf8_lossy(&body.unwrap_or_default()).into_owned()))
}

/// Reads JSON from a stand-in.
pub(crate) async fn read(address: SocketAddr, path: &str) -> Result<Value> {
    let request = Request::get(format!("http://{address}{path}")).body(Full::default())?;
    Ok(serde_json::from_str(&send(request).await?.1)?)
}

fn standin(arguments: &[&str]) -> Result<(Process, SocketAddr)> {
    let process = Process::start(Command::new(binary("standin")?).args(arguments))?;
    let address = process.greeting.trim().strip_prefix("listening on ");
    let address = address.context("no address")?.parse()?;
    Ok((process, address))
}

/// A program of the workspace, which `cargo test --workspace` builds beside the daemon.
fn binary(name: &str) -> Result<PathBuf> {
    let path = Path::new(env!("CARGO_BIN_EXE_rhubarblatchd")).with_file_name(name);
    ensure!(path.exists(), "{} is missing: run cargo build --workspace first", path.display());
    Ok(path)
}
