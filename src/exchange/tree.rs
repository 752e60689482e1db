//! The aggregation tree, computed from the member list.
//!
//! Every member picks at most one parent, whose address is smaller than its own. The edges
//! therefore form a forest even when members disagree on which members are live, and no charge can
//! travel in a cycle.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of children per member when all members are live.
pub const FAN_OUT: usize = 2;

/// Returns the parent of `me` among `members` (sorted): the nearest ancestor that is not suspected,
/// or if all ancestors are suspected, the smallest member before `me` that is not. Returns `None`
/// if `me` is a root.
pub fn parent(
    members: &[SocketAddr],
    me: SocketAddr,
    suspects: &BTreeSet<SocketAddr>,
) -> Option<SocketAddr> {
    let position = members.partition_point(|&m| m < me);
    let trusted = |m: &SocketAddr| !suspects.contains(m);
    ancestors(position)
        .map(|i| members[i])
        .find(trusted)
        .or_else(|| members[..position].iter().copied().find(trusted))
}

/// Returns the number of tree levels below `me` among `members` (sorted), when all members are
/// live.
pub fn levels_below(members: &[SocketAddr], me: SocketAddr) -> usize {
    let position = members.partition_point(|&m| m < me);
    let first_child = |i: &usize| Some(i * FAN_OUT + 1);
    std::iter::successors(Some(position), first_child)
        .skip(1)
        .take_while(|&i| i < members.len())
        .count()
}

/// Returns the number of tree levels below the root, when all members are live.
pub fn depth(members: usize) -> usize {
    ancestors(members.saturating_sub(1)).count()
}

fn ancestors(position: usize) -> impl Iterator<Item = usize> {
    std::iter::successors(Some(position), |&i| (i > 0).then(|| (i - 1) / FAN_OUT)).skip(1)
}
