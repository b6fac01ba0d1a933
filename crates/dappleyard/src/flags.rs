//! Command-line flags that override settings from the file.

use std::path::Path;

use clap::{Arg, ArgAction, ArgMatches};
use dappleyard_settings::{
    NodeSettings, SettingsError, SidecarSettings, load_node, load_sidecar, validate_node,
    validate_sidecar,
};

fn value_arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn config_arg() -> Arg {
    value_arg(
        "config",
        "FILE",
        "Settings file in TOML; without one the defaults apply",
    )
}

pub fn node_arguments() -> Vec<Arg> {
    vec![
        config_arg(),
        value_arg("id", "NAME", "Node id, unique in the fleet"),
        value_arg("zone", "NAME", "Zone"),
        value_arg("region", "NAME", "Region"),
        value_arg("link", "HOST:PORT", "TCP address to accept links on"),
        value_arg("gossip", "HOST:PORT", "UDP address for gossip"),
        value_arg(
            "admin",
            "HOST:PORT",
            "HTTP address of metrics, health checks and the operator API",
        ),
        value_arg(
            "platform",
            "URL",
            "Base URL of the platform, with tables, objects and machines below it",
        ),
        value_arg(
            "seed",
            "HOST:PORT",
            "Gossip address of another node; may be repeated",
        )
        .action(ArgAction::Append),
    ]
}

pub fn sidecar_arguments() -> Vec<Arg> {
    vec![
        config_arg(),
        value_arg("id", "NAME", "Name of this process"),
        value_arg("zone", "NAME", "Zone"),
        value_arg("region", "NAME", "Region"),
        value_arg(
            "listen",
            "HOST:PORT",
            "Loopback address to accept callers on",
        ),
        value_arg(
            "node",
            "HOST:PORT",
            "Link address of a node; may be repeated",
        )
        .action(ArgAction::Append),
    ]
}

/// Loads the node settings from the file, overridden by flags, and validates them.
pub fn node_settings(arguments: &ArgMatches) -> Result<NodeSettings, SettingsError> {
    let mut settings = match arguments.get_one::<String>("config") {
        Some(file) => load_node(Path::new(file))?,
        None => NodeSettings::default(),
    };
    set(arguments, "id", &mut settings.id);
    set(arguments, "zone", &mut settings.place.zone);
    set(arguments, "region", &mut settings.place.region);
    set(arguments, "link", &mut settings.link_listen);
    set(arguments, "gossip", &mut settings.gossip_listen);
    set(arguments, "admin", &mut settings.admin_listen);
    set_all(arguments, "seed", &mut settings.fleet.seeds);
    if let Some(base) = arguments.get_one::<String>("platform") {
        let base = base.trim_end_matches('/');
        settings.platform.tables_url = format!("{base}/tables");
        settings.platform.objects_url = format!("{base}/objects");
        settings.platform.machines_url = format!("{base}/machines");
    }
    validate_node(&settings)?;
    Ok(settings)
}

/// Loads the sidecar settings from the file, overridden by flags, and validates them.
pub fn sidecar_settings(arguments: &ArgMatches) -> Result<SidecarSettings, SettingsError> {
    let mut settings = match arguments.get_one::<String>("config") {
        Some(file) => load_sidecar(Path::new(file))?,
        None => SidecarSettings::default(),
    };
    set(arguments, "id", &mut settings.id);
    set(arguments, "zone", &mut settings.place.zone);
    set(arguments, "region", &mut settings.place.region);
    set(arguments, "listen", &mut settings.listen);
    set_all(arguments, "node", &mut settings.nodes);
    validate_sidecar(&settings)?;
    Ok(settings)
}

fn set(arguments: &ArgMatches, name: &str, setting: &mut String) {
    if let Some(value) = arguments.get_one::<String>(name) {
        setting.clone_from(value);
    }
}

fn set_all(arguments: &ArgMatches, name: &str, setting: &mut Vec<String>) {
    if let Some(values) = arguments.get_many::<String>(name) {
        *setting = values.cloned().collect();
    }
}
