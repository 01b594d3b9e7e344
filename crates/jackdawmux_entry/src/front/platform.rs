//! Parts of a front on the platform.

use std::path::PathBuf;
use std::sync::Arc;

use bpaf::{Parser, construct, long};
use jackdawmux_front::SourceError;
use jackdawmux_front::process::FrontParts;
use jackdawmux_platform::{
    NODE_FILE_VARIABLE, PlatformDialect, PlatformSettings, PlatformStore, SettingsError,
    read_settings,
};

/// Flags of a front on the platform.
#[derive(Clone, Debug)]
pub(super) struct PlatformFlags {
    node_file: PathBuf,
    metrics_port: Option<u16>,
}

pub(super) fn parser() -> impl Parser<PlatformFlags> {
    let node_file = long("node-file")
        .env(NODE_FILE_VARIABLE)
        .help("Settings file that the platform writes")
        .argument::<PathBuf>("FILE");
    let metrics_port = long("metrics-port")
        .env("JACKDAWMUX_METRICS_PORT")
        .help("Port for metrics on the address of the machine")
        .argument::<u16>("PORT")
        .optional();
    construct!(PlatformFlags { node_file, metrics_port })
}

/// Reads the settings that the flags name.
pub(super) fn read(flags: &PlatformFlags) -> Result<PlatformSettings, SettingsError> {
    read_settings(&flags.node_file, flags.metrics_port)
}

/// Opens the parts.
pub(super) fn parts(
    flags: PlatformFlags,
    settings: PlatformSettings,
) -> Result<FrontParts, SourceError> {
    let source = Arc::new(PlatformStore::open(settings.store)?);
    let reader =
        move || read(&flags).map(|settings| settings.front).map_err(|error| error.to_string());
    Ok(FrontParts {
        settings: settings.front,
        source,
        dialect: Arc::new(PlatformDialect),
        reader: Box::new(reader),
    })
}
