//! The path of one entry to the store: a proxy that refuses while it is cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

pub struct Link {
    pub address: SocketAddr,
    is_cut: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
}

impl Link {
    pub fn start(store: SocketAddr) -> Arc<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let link =
            Arc::new(Link { address, is_cut: AtomicBool::new(false), channels: Mutex::default() });
        let server = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // A channel that is refused is closed at once.
                if !server.is_cut.load(Ordering::SeqCst) {
                    server.pass(stream, store);
                }
            }
        });
        link
    }

    /// Cuts the path: open channels end, and new ones are refused.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        let mut channels = self.channels.lock().expect("no panic while it was held");
        channels.drain(..).for_each(|it| drop(it.shutdown(Shutdown::Both)));
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn pass(&self, stream: TcpStream, store: SocketAddr) {
        let Ok(other) = TcpStream::connect(store) else { return };
        for (from, to) in [(&stream, &other), (&other, &stream)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            thread::spawn(move || copy(from, to));
        }
        let mut channels = self.channels.lock().expect("no panic while it was held");
        channels.extend([stream, other]);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _result = to.set_nodelay(true);
    let mut bytes = [0; 16 << 10];
    loop {
        let length = from.read(&mut bytes).unwrap_or(0);
        if length == 0 || to.write_all(&bytes[..length]).is_err() {
            let _result = from.shutdown(Shutdown::Both);
            let _result = to.shutdown(Shutdown::Both);
            return;
        }
    }
}
