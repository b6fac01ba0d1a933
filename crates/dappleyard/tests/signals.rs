//! Signals to a process that has begun to listen.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};

use googletest::prelude::*;

const STARTS: usize = 10;

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Starts a process and returns once it listens on `address`.
fn start(arguments: &[&str], address: SocketAddr) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dappleyard"))
        .args(arguments)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    while TcpStream::connect(address).is_err() {
        assert_that!(child.try_wait().unwrap(), none());
    }
    child
}

fn start_node() -> Child {
    let (address, any) = (free_address(), "127.0.0.1:0");
    let link = address.to_string();
    let arguments = ["node", "--link", &link, "--gossip", any, "--admin", any];
    start(&arguments, address)
}

fn start_sidecar() -> Child {
    let address = free_address();
    start(&["sidecar", "--listen", &address.to_string()], address)
}

fn send(signal: &str, child: &Child) {
    let command = format!("kill -{signal} {}", child.id());
    let status = Command::new("sh").args(["-c", &command]).status().unwrap();
    assert_that!(status.success(), eq(true));
}

fn ended(mut child: Child) -> ExitStatus {
    child.wait().unwrap()
}

/// Guards against a signal during the start that ends the process without a planned stop.
#[gtest]
fn stop_during_start() {
    for start in [start_node, start_sidecar] {
        for _ in 0..STARTS {
            let child = start();
            send("TERM", &child);
            assert_that!(ended(child).code(), some(eq(0)));
        }
    }
}

/// Guards against a second signal that cuts a planned stop short.
#[gtest]
fn second_stop() {
    let child = start_sidecar();
    std::thread::sleep(std::time::Duration::from_millis(500));
    send("TERM", &child);
    send("TERM", &child);
    send("INT", &child);
    expect_that!(ended(child).code(), some(eq(0)));
}

/// Guards against a hang-up that ends the process and cuts all its answers.
#[gtest]
fn hang_up() {
    for start in [start_node, start_sidecar] {
        let child = start();
        std::thread::sleep(std::time::Duration::from_millis(500));
        send("HUP", &child);
        send("TERM", &child);
        expect_that!(ended(child).code(), some(eq(0)));
    }
}
