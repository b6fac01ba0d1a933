//! The stand-ins as one process, with its control interface.

use dappleyard_standin::engine::{EngineModelSettings, EngineSpec};
use dappleyard_standin::platform::PlatformStandInSettings;
use dappleyard_standin::process::{ServerSpec, StandIns, StandInsSpec};
use googletest::prelude::*;

fn spec() -> StandInsSpec {
    let server = |name: &str| ServerSpec {
        region: "bengal".to_owned(),
        zone: "howrah".to_owned(),
        hall: "howrah-hall".to_owned(),
        engine: EngineSpec {
            server: name.to_owned(),
            service: "fittings-llm".to_owned(),
            version: "v1".to_owned(),
            adapters: Vec::new(),
            model: EngineModelSettings::default(),
            seed: 1,
        },
    };
    StandInsSpec {
        platform: PlatformStandInSettings::default(),
        engines_listen: "127.0.0.1:0".to_owned(),
        control_listen: "127.0.0.1:0".to_owned(),
        servers: vec![server("server-1"), server("server-2")],
        nodes: Vec::new(),
    }
}

#[gtest]
fn control_interface_sets_faults() {
    crate::run(async {
        let stand_ins = StandIns::start(spec()).expect("ports of the operating system");
        let http = awc::Client::default();
        let control = format!("http://{}/control", stand_ins.control_address());
        let killed = http.post(format!("{control}/engines/server-1/kill"));
        expect_true!(
            killed
                .send()
                .await
                .expect("an answer")
                .status()
                .is_success()
        );
        expect_false!(stand_ins.engines().is_alive("server-1"));
        expect_true!(stand_ins.engines().is_alive("server-2"));
        expect_that!(stand_ins.platform().machines(), len(eq(2)));

        let fault = http.put(format!("{control}/faults/tables"));
        let set = fault.send_body(r#"{"refusing": true}"#).await;
        expect_that!(
            set.expect("an answer").status().as_u16(),
            eq(400),
            "no content type"
        );
        let fault = http.put(format!("{control}/faults/tables"));
        let body = serde_json::json!({"refusing": true});
        let set = fault.send_json(&body).await;
        expect_true!(set.expect("an answer").status().is_success());
        let url = format!("{}/row?key=a", stand_ins.platform().tables_url());
        let refused = http.get(url).send().await.expect("an answer");
        expect_that!(refused.status().as_u16(), eq(503));
        stand_ins.stop();
    });
}
