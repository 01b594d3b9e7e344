//! Reads bodies that another process writes, within a bound.

use std::error::Error;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use snafu::{ResultExt, Snafu, ensure};

use crate::held_bytes::HeldShare;

/// Why a body was not read to its end.
#[derive(Debug, Snafu)]
pub enum BoundedBodyError {
    /// The body is larger than its reader allows.
    #[snafu(display("body of more than {limit} bytes"))]
    TooLarge {
        /// Largest allowed body, in bytes.
        limit: usize,
    },
    /// The bodies that the process reads together are too large.
    #[snafu(display("no memory is left for a body of more than {read} bytes"))]
    BudgetSpent {
        /// Bytes that were read.
        read: usize,
    },
    /// The body ended early.
    #[snafu(display("{source}"))]
    Broken {
        /// Error of the connection.
        source: Box<dyn Error + Send + Sync>,
    },
}

impl BoundedBodyError {
    /// Whether the body was refused for its size.
    #[must_use]
    pub const fn is_size(&self) -> bool {
        matches!(self, Self::TooLarge { .. } | Self::BudgetSpent { .. })
    }
}

/// Reads a body of up to `limit` bytes. `share` holds them as long as the caller keeps it; what it
/// held before counts as well.
///
/// # Errors
/// When the body is larger than `limit` or than the budget allows, or ends early. No more than one frame
/// above the bound is read.
pub async fn read_bounded<B>(
    mut body: B,
    limit: usize,
    share: &mut HeldShare,
) -> Result<Bytes, BoundedBodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    ensure!(declared <= limit, TooLargeSnafu { limit });
    let held_before = share.count();
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Into::into).context(BrokenSnafu)?.into_data() else {
            continue;
        };
        let count = read.len() + data.len();
        ensure!(count <= limit, TooLargeSnafu { limit });
        ensure!(share.grow_to(held_before + count), BudgetSpentSnafu { read: read.len() });
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}
