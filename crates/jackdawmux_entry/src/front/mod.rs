//! Runs a front with settings from the platform, or with accepted rules from the object store.

mod native;
mod platform;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};
use jackdawmux_front::FrontProcess;
use jackdawmux_front::process::FrontParts;
use jackdawmux_runtime::{StopSignal, init_logging};

use self::native::NativeFlags;
use self::platform::PlatformFlags;

/// Flags of `jackdawmux front`.
#[derive(Clone, Debug)]
enum FrontFlags {
    Platform(PlatformFlags),
    Native(NativeFlags),
}

fn front_parser() -> OptionParser<FrontFlags> {
    let platform = platform::parser().map(FrontFlags::Platform);
    let native = native::parser().map(FrontFlags::Native);
    construct!([platform, native])
        .to_options()
        .descr("Forwards requests of callers to endpoints")
        .command("front")
        .to_options()
}

/// Runs a front: reads settings, opens the log, runs the process and stops it gracefully on a
/// signal.
pub(crate) fn run() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return start_failed(2, format_args!("step=runtime error={error:?}")),
    };
    match front_parser().run() {
        FrontFlags::Platform(flags) => match platform::read_at_start(&flags) {
            Ok(settings) => runtime.block_on(run_platform(flags, settings)),
            Err(error) => start_failed(2, format_args!("{error}")),
        },
        FrontFlags::Native(flags) => runtime.block_on(run_native(flags)),
    }
}

async fn run_platform(
    flags: PlatformFlags,
    settings: jackdawmux_platform::PlatformSettings,
) -> ExitCode {
    let _log = match init_logging(&settings.front.instance) {
        Ok(log) => log,
        Err(error) => return start_failed(1, format_args!("step=log error={error:?}")),
    };
    match platform::parts(flags, settings) {
        Ok(parts) => run_until_signal(parts).await,
        Err(error) => start_failed(1, format_args!("{error}")),
    }
}

async fn run_native(flags: NativeFlags) -> ExitCode {
    let _log = match init_logging(&flags.instance) {
        Ok(log) => log,
        Err(error) => return start_failed(1, format_args!("step=log error={error:?}")),
    };
    match native::parts(flags).await {
        Ok(parts) => run_until_signal(parts).await,
        Err(error) => start_failed(1, format_args!("{error}")),
    }
}

/// Prints to standard output, because the log may not be open yet.
fn start_failed(code: u8, reason: std::fmt::Arguments<'_>) -> ExitCode {
    println!("level=ERROR event=start-failed {reason}");
    ExitCode::from(code)
}

async fn run_until_signal(parts: FrontParts) -> ExitCode {
    let stop = match StopSignal::subscribe() {
        Ok(stop) => stop,
        Err(error) => return start_failed(1, format_args!("step=signals error={error:?}")),
    };
    let process = match FrontProcess::open(parts).await {
        Ok(process) => process,
        Err(error) => return start_failed(1, format_args!("{error}")),
    };
    stop.wait().await;
    process.leave().await;
    ExitCode::SUCCESS
}
