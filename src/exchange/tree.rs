//! The tree that charges climb, computed from the member list.
//!
//! Every member picks at most one parent, which is smaller than itself in the order of addresses.
//! So the edges form a forest whatever the members believe, and no charge can circulate.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Children of a member when all members are live.
pub const FAN_OUT: usize = 2;

/// The parent of `me` among `members` (sorted): its nearest ancestor that is not suspected, else
/// the smallest member before it that is not. `None`: `me` is a root.
pub fn parent(
    members: &[SocketAddr],
    me: SocketAddr,
    suspects: &BTreeSet<SocketAddr>,
) -> Option<SocketAddr> {
    let place = members.partition_point(|&m| m < me);
    let trusted = |m: &SocketAddr| !suspects.contains(m);
    ancestors(place)
        .map(|i| members[i])
        .find(trusted)
        .or_else(|| members[..place].iter().copied().find(trusted))
}

/// Levels of the tree below `me` among `members` (sorted), when all members are live.
pub fn levels_below(members: &[SocketAddr], me: SocketAddr) -> usize {
    let place = members.partition_point(|&m| m < me);
    let first_child = |i: &usize| Some(i * FAN_OUT + 1);
    std::iter::successors(Some(place), first_child)
        .skip(1)
        .take_while(|&i| i < members.len())
        .count()
}

/// Levels of the tree below its root, when all members are live.
pub fn depth(members: usize) -> usize {
    ancestors(members.saturating_sub(1)).count()
}

fn ancestors(place: usize) -> impl Iterator<Item = usize> {
    std::iter::successors(Some(place), |&i| (i > 0).then(|| (i - 1) / FAN_OUT)).skip(1)
}
