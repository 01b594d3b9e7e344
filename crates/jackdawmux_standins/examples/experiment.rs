//! Compares steering policies by simulation in virtual time: latency, share of requests served by
//! priority, requests above the endpoints' caps and utilisation.

use std::time::Instant;

use bpaf::Parser;
use jackdawmux_policy::steering::SteeringSettings;
use jackdawmux_standins::deployment::Deployment;
use jackdawmux_standins::experiment::{
    CentralQueue, ExperimentModel, FleetPolicy, LeastInFlight, ModelSettings, PowerOfTwo,
    RoundRobin, SimulationReport, SteeringPolicy, run_simulation,
};

struct ExperimentOptions {
    deployment: String,
    service: usize,
    loads: Vec<f64>,
    seconds: u64,
    seed: u64,
    skew: u32,
    lose_domain: bool,
}

fn options() -> ExperimentOptions {
    let deployment = bpaf::long("deployment")
        .help("korea or mauritius")
        .argument::<String>("NAME")
        .fallback("korea".to_owned());
    let service = bpaf::long("service")
        .help("0 for the large service, 1 for the small one")
        .argument::<usize>("INDEX")
        .fallback(0);
    let loads = bpaf::long("load")
        .help("Offered load in percent of capacity; may repeat")
        .argument::<f64>("PERCENT")
        .many()
        .map(|loads| if loads.is_empty() { vec![50.0, 80.0, 95.0, 120.0] } else { loads });
    let seconds = bpaf::long("seconds")
        .help("Time during which requests arrive in each run")
        .argument::<u64>("SECONDS")
        .fallback(20);
    let seed = bpaf::long("seed").help("Seed of the model").argument::<u64>("SEED").fallback(1);
    let skew = bpaf::long("skew")
        .help("Share of the requests that arrive at the first entry in any case, in percent")
        .argument::<u32>("PERCENT")
        .fallback(40);
    let lose_domain =
        bpaf::long("lose-domain").help("One failure domain fails halfway through the run").switch();
    bpaf::construct!(ExperimentOptions {
        deployment,
        service,
        loads,
        seconds,
        seed,
        skew,
        lose_domain,
    })
    .to_options()
    .descr("Compares steering policies in virtual time")
    .run()
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = options();
    let deployment = Deployment::find(&options.deployment)
        .ok_or("unknown deployment; expected korea or mauritius")?;
    for load in &options.loads {
        let settings = ModelSettings {
            deployment,
            service: options.service.min(1),
            entries: 7,
            load: load / 100.0,
            skew_percent: options.skew,
            seconds: options.seconds,
            seed: options.seed,
            loses_domain: options.lose_domain,
        };
        compare(&settings);
    }
    Ok(())
}

fn compare(settings: &ModelSettings) {
    let model = ExperimentModel::generate(*settings);
    println!(
        "\n{} {}: {} slots, load {:.0} %, skew {} %, domain lost: {}, {} requests",
        settings.deployment.name,
        model.size.name,
        settings.deployment.total_slots(model.size.name),
        settings.load * 100.0,
        settings.skew_percent,
        settings.loses_domain,
        model.requests.len()
    );
    println!(
        "{:<28} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8} {:>6} {:>7}",
        "policy",
        "high p50",
        "high p99",
        "low p50",
        "low p99",
        "high %",
        "low %",
        "over cap",
        "util",
        "run s"
    );
    let no_forwarding =
        SteeringSettings { forwards_to_peers: false, ..SteeringSettings::default() };
    let mut policies: Vec<Box<dyn SteeringPolicy>> = vec![
        Box::new(CentralQueue::default()),
        Box::new(FleetPolicy::new("jackdawmux", SteeringSettings::default())),
        Box::new(FleetPolicy::new("jackdawmux, no forwarding", no_forwarding)),
        Box::new(RoundRobin::default()),
        Box::new(LeastInFlight::new(settings.seed)),
        Box::new(PowerOfTwo::new(settings.seed)),
    ];
    let mut ideal_p99 = None;
    for policy in &mut policies {
        let start = Instant::now();
        let report = run_simulation(&model, policy.as_mut());
        print_row(&report, start.elapsed().as_secs_f64());
        let p99 = report.high.value_at_quantile(0.99) as f64;
        match ideal_p99 {
            None => ideal_p99 = Some(p99),
            Some(ideal_p99) if report.name == "jackdawmux" => {
                println!("{:<28} high p99 is {:.2}x that of the ideal queue", "", p99 / ideal_p99);
            }
            Some(_) => {}
        }
    }
}

fn print_row(report: &SimulationReport, seconds: f64) {
    let ms = |histogram: &hdrhistogram::Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1e3
    };
    println!(
        "{:<28} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>7.2} {:>7.2} {:>8} {:>6.3} {:>7.1}",
        report.name,
        ms(&report.high, 0.5),
        ms(&report.high, 0.99),
        ms(&report.low, 0.5),
        ms(&report.low, 0.99),
        report.high_served(),
        report.low_served(),
        report.over_cap,
        report.utilisation,
        seconds
    );
}
