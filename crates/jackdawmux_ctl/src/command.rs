//! Parsing of the command line and dispatch of the commands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use jackdawmux_store::HttpStore;

use crate::exit::CommandOutcome;
use crate::output::OutputFormat;
use crate::{accept, ask, drain, merge, status, timeline};

/// Options common to all commands.
#[derive(Clone, Debug)]
pub struct CommonOptions {
    /// Base address of the platform's store.
    pub store: String,
    /// Credential for changes of the configuration.
    pub token: Option<String>,
    /// Name of the operator, recorded with each accepted version.
    pub by: String,
    /// Name of the group of instances.
    pub group: String,
    /// Format of the output.
    pub output: OutputFormat,
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum CtlCommand {
    /// Check a rules file.
    Check(PathBuf),
    /// Show what accepting a file would change.
    Diff(PathBuf),
    /// Accept a file.
    Accept {
        /// Path of the rules file.
        file: PathBuf,
        /// Reason, recorded with the version.
        note: String,
        /// Version on which the file is based; must be the accepted version.
        base: Option<u64>,
        /// Version above which the new version must be.
        above: u64,
        /// Wait until it is active at every instance.
        wait: bool,
    },
    /// Show who accepted what.
    Log {
        /// Show only the accept with this id, to check its outcome after a lost response.
        accept_id: Option<String>,
    },
    /// Show each instance.
    Status(Vec<SocketAddr>),
    /// Drain an upstream or a failure domain.
    Drain {
        /// Address of an upstream, or `domain:NAME`.
        target: String,
        /// Reason, recorded with the version.
        note: String,
    },
    /// Remove a drain.
    Undrain {
        /// Address of an upstream, or `domain:NAME`.
        target: String,
        /// Reason, recorded with the version.
        note: String,
    },
    /// Show events of all instances in one order.
    Timeline {
        /// Show only events or lines that contain this text.
        only: Option<String>,
        /// Write a chart to this file.
        plot: Option<PathBuf>,
        /// Log files to merge, instead of querying instances.
        logs: Vec<PathBuf>,
        /// Instances to query, instead of the group's members.
        entries: Vec<SocketAddr>,
    },
    /// Look up the entries of a service at an instance, as a caller does.
    Ask {
        /// Address of the instance.
        entry: SocketAddr,
        /// Name of the service.
        service: String,
    },
}

fn common_parser() -> impl Parser<CommonOptions> {
    let store = long("store")
        .env("JACKDAWMUX_STORE")
        .help("Base address of the platform's object store")
        .argument::<String>("URL")
        .fallback(String::new());
    let token = long("token")
        .env("JACKDAWMUX_TOKEN")
        .help("Credential for accept and drain")
        .argument::<String>("TOKEN")
        .optional();
    let by = long("by")
        .env("JACKDAWMUX_OPERATOR")
        .help("Your name, recorded with each version that you accept")
        .argument::<String>("NAME")
        .fallback("unnamed".to_owned())
        .display_fallback();
    let group = long("group")
        .env("JACKDAWMUX_GROUP")
        .help("Group of instances")
        .argument::<String>("NAME")
        .fallback("main".to_owned())
        .display_fallback();
    let output = long("output")
        .help("Format of the output: text or json")
        .argument::<OutputFormat>("FORM")
        .fallback(OutputFormat::Text)
        .display_fallback();
    construct!(CommonOptions { store, token, by, group, output })
}

fn note_parser() -> impl Parser<String> {
    long("note")
        .help("Reason, recorded with the version")
        .argument::<String>("TEXT")
        .fallback(String::new())
}

/// The command line of `jackdawctl`.
#[must_use]
pub fn command_parser() -> OptionParser<(CommonOptions, CtlCommand)> {
    let file = || positional::<PathBuf>("FILE").help("Rules file");
    let entries = || {
        long("entry")
            .help("Instance to query; may be repeated")
            .argument::<SocketAddr>("IP:PORT")
            .many()
    };
    let target = || positional::<String>("TARGET").help("IP:PORT of an upstream, or domain:NAME");
    let check = file()
        .map(CtlCommand::Check)
        .to_options()
        .descr("Check a rules file")
        .command("check")
        .help("Check a rules file");
    let diff = file()
        .map(CtlCommand::Diff)
        .to_options()
        .descr("Show what accepting a file would change")
        .command("diff")
        .help("Show what accepting a file would change");
    let accept = accept_parser()
        .to_options()
        .descr("Accept a rules file: it becomes active at every instance within seconds")
        .command("accept")
        .help("Accept a rules file");
    let accept_id = long("accept-id")
        .help("Show only the accept with this id, to check its outcome after a lost response")
        .argument::<String>("ID")
        .optional();
    let log = construct!(CtlCommand::Log { accept_id })
        .to_options()
        .descr("Show who accepted what, and why")
        .command("log")
        .help("Show who accepted what");
    let status = entries()
        .map(CtlCommand::Status)
        .to_options()
        .descr("Show each instance: active version, its age, lease and slots")
        .command("status")
        .help("Show each instance");
    let drain = {
        let (target, note) = (target(), note_parser());
        construct!(CtlCommand::Drain { note, target })
            .to_options()
            .descr("Drain an upstream or a failure domain: it receives no new requests")
            .command("drain")
            .help("Drain an upstream or a failure domain")
    };
    let undrain = {
        let (target, note) = (target(), note_parser());
        construct!(CtlCommand::Undrain { note, target })
            .to_options()
            .descr("Remove a drain")
            .command("undrain")
            .help("Remove a drain")
    };
    let timeline = {
        let only = long("only")
            .help("Only events that contain this text")
            .argument::<String>("TEXT")
            .optional();
        let plot = long("plot")
            .help("Write an SVG chart to this file")
            .argument::<PathBuf>("FILE")
            .optional();
        let logs = long("log")
            .help("Merge this log file instead of querying instances; may be repeated")
            .argument::<PathBuf>("FILE")
            .many();
        let entries = entries();
        construct!(CtlCommand::Timeline { only, plot, logs, entries })
            .to_options()
            .descr("Show events of all instances in one order")
            .command("timeline")
            .help("Show events of all instances")
    };
    let ask = {
        let entry = positional::<SocketAddr>("ENTRY").help("IP:PORT of an instance");
        let service = positional::<String>("SERVICE").help("Name of the service");
        construct!(CtlCommand::Ask { entry, service })
            .to_options()
            .descr("Look up the entries of a service at an instance, as a caller does")
            .command("ask")
            .help("Look up the entries of a service")
    };
    let command = construct!([check, diff, accept, log, status, drain, undrain, timeline, ask]);
    let common = common_parser();
    construct!(common, command)
        .to_options()
        .descr("jackdawctl: operates the traffic steering system")
        .footer("Exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown.")
        .version(env!("CARGO_PKG_VERSION"))
}

fn accept_parser() -> impl Parser<CtlCommand> {
    let note = note_parser();
    let base = long("base")
        .help("Version on which the file is based; refused unless it is the accepted version")
        .argument::<u64>("VERSION")
        .optional();
    let above = long("above")
        .help("Make the new version higher than this one, after the store lost versions")
        .argument::<u64>("VERSION")
        .fallback(0);
    let wait = long("wait").help("Wait until it is active at every instance").switch();
    let file = positional::<PathBuf>("FILE").help("Rules file");
    construct!(CtlCommand::Accept { note, base, above, wait, file })
}

/// Parses the command line, runs the command and returns its exit code.
#[must_use]
pub fn run() -> ExitCode {
    let (common, command) = match command_parser().run_inner(bpaf::Args::current_args()) {
        Ok(parsed) => parsed,
        Err(failure) => {
            let is_usage_error = matches!(failure, bpaf::ParseFailure::Stderr(_));
            failure.print_message(100);
            return if is_usage_error { CommandOutcome::Usage.into() } else { ExitCode::SUCCESS };
        }
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: step=runtime error={error}");
            return CommandOutcome::Refused.into();
        }
    };
    runtime.block_on(dispatch(&common, command)).into()
}

async fn dispatch(common: &CommonOptions, command: CtlCommand) -> CommandOutcome {
    if let CtlCommand::Timeline { only, logs, .. } = &command
        && !logs.is_empty()
    {
        return merge::merge_logs(logs, only.as_deref());
    }
    let store = match HttpStore::open(&common.store, common.token.as_deref()) {
        Ok(store) => store,
        Err(error) => {
            eprintln!("error: {error}");
            return CommandOutcome::Refused;
        }
    };
    let needs_store = !matches!(command, CtlCommand::Check(_) | CtlCommand::Ask { .. });
    if needs_store && common.store.is_empty() {
        eprintln!("error: specify the store's address with --store or JACKDAWMUX_STORE");
        return CommandOutcome::Usage;
    }
    match command {
        CtlCommand::Check(file) => accept::check_file(common, &file),
        CtlCommand::Diff(file) => accept::diff_file(common, &store, &file).await,
        CtlCommand::Accept { file, note, base, above, wait } => {
            let options = accept::AcceptOptions { note, base, above, wait };
            accept::accept_file(common, &store, &file, &options).await
        }
        CtlCommand::Log { accept_id } => {
            accept::show_log(common, &store, accept_id.as_deref()).await
        }
        CtlCommand::Status(entries) => status::show_status(common, &store, &entries).await,
        CtlCommand::Drain { target, note } => drain::drain(common, &store, &target, &note).await,
        CtlCommand::Undrain { target, note } => {
            drain::undrain(common, &store, &target, &note).await
        }
        CtlCommand::Timeline { only, plot, entries, .. } => {
            let options = timeline::TimelineOptions { only, plot, entries };
            timeline::show_timeline(common, &store, &options).await
        }
        CtlCommand::Ask { entry, service } => ask::ask_entry(common, entry, &service).await,
    }
}
