//! Cost and class of requests, learnt from those before.
