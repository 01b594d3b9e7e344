//! Runs the stand-in for the platform's object store.

use std::net::SocketAddr;

use bpaf::Parser;
use jackdawmux_standins::store::StoreStandin;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    env_logger::init();
    let listen = bpaf::long("listen")
        .help("Address to listen on; port 0 binds a free port")
        .argument::<SocketAddr>("IP:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let token = bpaf::long("token")
        .help("Bearer token required for writes to the configuration")
        .argument::<String>("TOKEN")
        .optional();
    let (listen, token) = bpaf::construct!(listen, token)
        .to_options()
        .descr("Stand-in for the platform's object store")
        .run();
    let store = StoreStandin::bind(listen, token.as_deref()).await?;
    println!("listening address={}", store.address);
    store.wait().await;
    Ok(())
}
