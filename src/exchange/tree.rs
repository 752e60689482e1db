//! The aggregation tree, computed from the member list.
//!
//! Every member picks at most one parent, whose address is smaller than its own. So the edges form
//! a forest even when members disagree on who is live, and no charge can travel in a circle.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Children per member when all members are live.
pub const FAN_OUT: usize = 2;

/// The parent of `me` among `members` (sorted): its nearest ancestor that is not suspected, else
/// the smallest member before it that is not. `None` when `me` is a root.
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

/// Levels of the tree below `me` among `members` (sorted), when all members are live.
pub fn levels_below(members: &[SocketAddr], me: SocketAddr) -> usize {
    let position = members.partition_point(|&m| m < me);
    let first_child = |i: &usize| Some(i * FAN_OUT + 1);
    std::iter::successors(Some(position), first_child)
        .skip(1)
        .take_while(|&i| i < members.len())
        .count()
}

/// Levels of the tree below its root, when all members are live.
pub fn depth(members: usize) -> usize {
    ancestors(members.saturating_sub(1)).count()
}

fn ancestors(position: usize) -> impl Iterator<Item = usize> {
    std::iter::successors(Some(position), |&i| (i > 0).then(|| (i - 1) / FAN_OUT)).skip(1)
}
