//! Clients of the platform's services: the log and the host list.
