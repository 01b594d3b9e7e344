//! Parts of a front on the platform.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use jackdawmux_front::SourceError;
use jackdawmux_front::process::FrontParts;
use jackdawmux_platform::{
    NODE_FILE_VARIABLE, PlatformDialect, PlatformSettings, PlatformStore, SettingsError,
    read_settings,
};

/// Readings of the settings before a start is given up.
const START_READS: usize = 4;
/// Pause between them; writing such a file takes milliseconds.
const START_PAUSE: Duration = Duration::from_millis(200);

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

/// Reads the settings for the start. A file that is being written may be read half; what is still
/// wrong after a moment is a mistake.
pub(super) fn read_at_start(flags: &PlatformFlags) -> Result<PlatformSettings, SettingsError> {
    for _ in 1..START_READS {
        match read(flags) {
            Ok(settings) => return Ok(settings),
            Err(error) => println!("level=WARN event=settings-unread {error}"),
        }
        std::thread::sleep(START_PAUSE);
    }
    read(flags)
}

/// Reads the settings that the flags name.
fn read(flags: &PlatformFlags) -> Result<PlatformSettings, SettingsError> {
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
