//! Stand-ins for the platform's log and host list, and for a target.
