//! Flags and parts of a front with settings from the platform.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use jackdawmux_front::SourceError;
use jackdawmux_front::process::{FrontParts, SettingsReader};
use jackdawmux_platform::{
    NODE_FILE_VARIABLE, PlatformDialect, PlatformSettings, PlatformStore, SettingsError,
    read_settings,
};

/// Attempts to read the settings before the start fails.
const START_READ_ATTEMPTS: usize = 4;
/// Time between these attempts; writing such a file takes milliseconds.
const START_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Flags of a front with settings from the platform.
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
        .help("Port for metrics on the IP address of the machine")
        .argument::<u16>("PORT")
        .optional();
    construct!(PlatformFlags { node_file, metrics_port })
}

/// Reads the settings at start. A file that is being written may be read incompletely, so errors
/// are reported only if they remain after several attempts.
pub(super) fn read_at_start(flags: &PlatformFlags) -> Result<PlatformSettings, SettingsError> {
    for _ in 1..START_READ_ATTEMPTS {
        match read(flags) {
            Ok(settings) => return Ok(settings),
            Err(error) => println!("level=WARN event=settings-unread {error}"),
        }
        std::thread::sleep(START_READ_INTERVAL);
    }
    read(flags)
}

/// Reads the settings from the file given in the flags.
fn read(flags: &PlatformFlags) -> Result<PlatformSettings, SettingsError> {
    read_settings(&flags.node_file, flags.metrics_port)
}

/// Opens the parts of the front.
pub(super) fn parts(
    flags: PlatformFlags,
    settings: PlatformSettings,
) -> Result<FrontParts, SourceError> {
    let source = Arc::new(PlatformStore::open_with(settings.store, settings.max_object_bytes)?);
    let reader =
        move || read(&flags).map(|settings| settings.front).map_err(|error| error.to_string());
    Ok(FrontParts {
        settings: settings.front,
        source,
        dialect: Arc::new(PlatformDialect),
        reader: SettingsReader::new(reader),
    })
}
