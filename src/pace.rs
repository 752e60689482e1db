//! A target's rate beside its peers'.
