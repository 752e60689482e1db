//! Service registry of a process: its internal services register their handles under names, by
//! which they find each other.

use std::any::Any;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Name of a service within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServiceName(pub &'static str);

/// Why a service was not found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LookupError {
    /// Nothing is registered under the name.
    #[error("no service is registered as {}", .0.0)]
    NotFound(ServiceName),
    /// The handle registered under the name has another type.
    #[error("the service {} is of another type", .0.0)]
    WrongType(ServiceName),
}

/// Registry of the services of one process. Used at start-up only, not on the request path.
#[derive(Clone, Default)]
pub struct Registry {
    services: Arc<Mutex<HashMap<ServiceName, Box<dyn Any + Send>>>>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service's handle under a name, replacing an earlier one.
    pub fn register<T: Clone + Send + 'static>(&self, name: ServiceName, handle: T) {
        let mut services = self
            .services
            .lock()
            .expect("service registry is not poisoned");
        services.insert(name, Box::new(handle));
    }

    /// Returns the handle registered under a name.
    ///
    /// # Errors
    /// Returns an error if nothing is registered under the name, or if the handle has another type.
    pub fn find<T: Clone + Send + 'static>(&self, name: ServiceName) -> Result<T, LookupError> {
        let services = self
            .services
            .lock()
            .expect("service registry is not poisoned");
        let handle = services.get(&name).ok_or(LookupError::NotFound(name))?;
        handle
            .downcast_ref::<T>()
            .cloned()
            .ok_or(LookupError::WrongType(name))
    }
}
