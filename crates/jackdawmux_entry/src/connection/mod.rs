//! State with the lifetime of a connection: the pool of upstream connections and the exchanges on it.

mod exchange;
mod pool;

pub(crate) use exchange::REQUEST_ID_HEADER;
pub use exchange::{ExchangeOutcome, UpstreamResponse, exchange};
pub use pool::{UpstreamConnection, UpstreamPool};
