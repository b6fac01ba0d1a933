//! Nodes on free ports, and calls to them.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::sync::Arc;

use dappleyard_node::NodeHandle;
use dappleyard_settings::{NodeSettings, PlatformSettings};
use dappleyard_standin::platform::PlatformHandle;
use dappleyard_tables::Lifecycle;
use dappleyard_transport::link::ClientStream;
use dappleyard_transport::policy::SharedPolicy;
use dappleyard_transport::{DirectPolicy, Link, LinkSettings};
use dappleyard_wire::PROTOCOL_VERSION;
use dappleyard_wire::messages::{Call, Hello, call, frame};

pub const ANY_PORT: &str = "127.0.0.1:0";

pub fn settings(platform: PlatformSettings) -> NodeSettings {
    NodeSettings {
        link_listen: ANY_PORT.to_owned(),
        gossip_listen: ANY_PORT.to_owned(),
        admin_listen: ANY_PORT.to_owned(),
        platform,
        ..NodeSettings::default()
    }
}

pub fn platform_settings(platform: &PlatformHandle) -> PlatformSettings {
    PlatformSettings {
        tables_url: platform.tables_url(),
        objects_url: platform.objects_url(),
        machines_url: platform.machines_url(),
        ..PlatformSettings::default()
    }
}

pub async fn wait_until_ready(node: &NodeHandle) {
    let mut lifecycle = node.tables().lifecycle.subscribe();
    let ready = lifecycle.wait_for(|state| *state == Lifecycle::Ready);
    ready.await.unwrap();
}

pub async fn start(settings: NodeSettings, policy: SharedPolicy) -> NodeHandle {
    dappleyard_node::start(settings, policy).await.unwrap()
}

pub async fn dial(node: &NodeHandle, settings: &LinkSettings) -> Link {
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        id: "caller".to_owned(),
        ..Hello::default()
    };
    let connected = Link::connect(node.link_address(), hello, settings, Arc::new(DirectPolicy));
    connected.await.unwrap()
}

pub fn open_call(link: &Link, method: call::Method) -> ClientStream {
    let call = Call {
        budget_ms: 10_000,
        method: Some(method),
    };
    link.open(frame::Body::Call(call)).unwrap()
}
