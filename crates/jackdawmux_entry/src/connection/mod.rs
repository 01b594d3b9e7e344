//! State with the lifetime of a connection: exchanges with upstreams and the connection pool.

mod exchange;
mod pool;

pub(crate) use exchange::REQUEST_ID_HEADER;
pub use exchange::{ExchangeOutcome, UpstreamResponse, exchange};
pub use pool::{UpstreamConnection, UpstreamPool};
