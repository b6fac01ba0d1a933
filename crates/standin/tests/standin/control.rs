//! HTTP control interface of the stand-ins.

use std::sync::Arc;

use dappleyard_standin::control;
use dappleyard_standin::engine::{EngineHost, EngineModelSettings, EngineSpec};
use dappleyard_standin::platform::{PlatformStandIn, PlatformStandInSettings};
use googletest::prelude::*;

fn spec(server: &str) -> EngineSpec {
    EngineSpec {
        server: server.to_owned(),
        service: "fittings-llm".to_owned(),
        version: "v1".to_owned(),
        adapters: Vec::new(),
        model: EngineModelSettings::default(),
        seed: 1,
    }
}

#[gtest]
fn control_interface_sets_faults() {
    crate::run(async {
        let platform = PlatformStandIn::start(PlatformStandInSettings::default())
            .expect("a port of the operating system");
        let engines = EngineHost::start(vec![spec("server-1"), spec("server-2")])
            .expect("a port of the operating system");
        let engines = Arc::new(engines);
        let running = control::start("127.0.0.1:0", engines.clone(), platform.clone())
            .expect("a port of the operating system");
        let http = awc::Client::default();
        let control = format!("http://{}/control", running.address());
        let killed = http.post(format!("{control}/engines/server-1/kill"));
        expect_true!(
            killed
                .send()
                .await
                .expect("an answer")
                .status()
                .is_success()
        );
        expect_false!(engines.is_alive("server-1"));
        expect_true!(engines.is_alive("server-2"));

        let fault = http.put(format!("{control}/faults/tables"));
        let set = fault.send_body(r#"{"refusing": true}"#).await;
        expect_that!(
            set.expect("an answer").status().as_u16(),
            eq(400),
            "missing content type"
        );
        let fault = http.put(format!("{control}/faults/tables"));
        let body = serde_json::json!({"refusing": true});
        let set = fault.send_json(&body).await;
        expect_true!(set.expect("an answer").status().is_success());
        let url = format!("{}/row?key=a", platform.tables_url());
        let refused = http.get(url).send().await.expect("an answer");
        expect_that!(refused.status().as_u16(), eq(503));
        running.stop();
    });
}
