//! The link of one entry to the store: a proxy that can be cut in silence. While it is cut, what
//! open channels carry is held up, and new channels find a full queue, so that their opening
//! packets are dropped. At the end of the cut, channels that are still open go on.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time after which a channel that doesn't open shows that the queue is full.
const FULL: Duration = Duration::from_millis(30);

/// Most channels that fill the queue of the listener.
const MAX_FILLERS: usize = 1_000;

pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    fillers: Mutex<Vec<TcpStream>>,
}

impl Link {
    pub fn new(store: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = is_cut.clone();
        listener.set_nonblocking(true)?;
        thread::spawn(move || {
            loop {
                if cut.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                }
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let Ok(far) = TcpStream::connect(store) else { continue };
                let ready = near.set_nonblocking(false).and_then(|()| near.set_nodelay(true));
                if ready.and_then(|()| far.set_nodelay(true)).is_err() {
                    continue;
                }
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let cut = cut.clone();
                    thread::spawn(move || copy(from, to, &cut));
                }
            }
        });
        Ok(Link { address, is_cut, fillers: Mutex::default() })
    }

    /// Cuts the link.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        // The acceptor may take one more.
        thread::sleep(Duration::from_millis(5));
        let mut fillers = self.fillers.lock().expect("no panic under the lock");
        while fillers.len() < MAX_FILLERS {
            let Ok(filler) = TcpStream::connect_timeout(&self.address, FULL) else { return };
            fillers.push(filler);
        }
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.fillers.lock().expect("no panic under the lock").clear();
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

/// Passes on what `from` sends, once the link isn't cut. What its sender has given up is lost.
fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count) = from.read(&mut bytes) {
        while is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    drop(to.shutdown(Shutdown::Both));
    drop(from.shutdown(Shutdown::Both));
}
