//! Connections to endpoints and the exchanges on them.

mod exchange;
mod pool;

pub(crate) use exchange::{Exchange, ExchangeOutcome, exchange};
pub(crate) use pool::{PooledConnection, UpstreamPool};
