//! Runs the stand-in for one upstream endpoint.

use std::net::SocketAddr;

use bpaf::Parser;
use jackdawmux_standins::upstream::{UpstreamSettings, UpstreamStandin};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    env_logger::init();
    let listen = bpaf::long("listen")
        .help("Address to listen on; port 0 binds a free port")
        .argument::<SocketAddr>("IP:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let slots = bpaf::long("slots")
        .help("Maximum number of requests run at once")
        .argument::<u32>("COUNT")
        .fallback(6);
    let service_ms =
        bpaf::long("service-ms").help("Service time").argument::<f64>("MS").fallback(20.0);
    let seed =
        bpaf::long("seed").help("Seed of the service times").argument::<u64>("SEED").fallback(1);
    let (listen, slots, service_ms, seed) = bpaf::construct!(listen, slots, service_ms, seed)
        .to_options()
        .descr("Stand-in for one upstream endpoint")
        .run();
    let settings = UpstreamSettings { slots, service_ms, ..UpstreamSettings::default() };
    let upstream = UpstreamStandin::bind(listen, settings, seed).await?;
    println!("listening address={}", upstream.address);
    upstream.wait().await;
    Ok(())
}
