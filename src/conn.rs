//! A framed, authenticated connection between an entry and an agent.
