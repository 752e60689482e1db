//! Spans, and the W3C trace context that links the spans of several processes.

use std::fmt;
use std::str::FromStr;

use opentelemetry::trace::{
    Span as _, SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer,
};
use opentelemetry::{Context, KeyValue, Value};
use opentelemetry_sdk::trace::SdkTracer;

/// Length of a version 00 `traceparent`, in bytes.
const TRACEPARENT_BYTES: usize = 55;
/// Version that W3C Trace Context forbids.
const INVALID_VERSION: u8 = 0xff;
/// Trace flag: the trace is sampled.
const SAMPLED: u8 = 0x01;

/// Trace id, span id and flags, as in the W3C `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TraceContext {
    /// Trace id; nonzero.
    pub trace: u128,
    /// Span id; nonzero.
    pub span: u64,
    /// Trace flags; bit 0 is set if the trace is sampled.
    pub flags: u8,
}

/// Error for a text that is not a valid `traceparent`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed traceparent")]
pub struct TraceparentError;

impl TraceContext {
    /// Creates the context of a new trace that is not sampled.
    pub fn random() -> Self {
        TraceContext {
            trace: rand::random::<u128>().max(1),
            span: rand::random::<u64>().max(1),
            flags: 0,
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = self.flags & SAMPLED;
        write!(f, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}

impl FromStr for TraceContext {
    type Err = TraceparentError;

    fn from_str(text: &str) -> Result<Self, TraceparentError> {
        let (head, rest) = text
            .split_at_checked(TRACEPARENT_BYTES)
            .ok_or(TraceparentError)?;
        let mut fields = head.split('-');
        let version = parse_hex(fields.next(), 2)? as u8;
        let trace = parse_hex(fields.next(), 32)?;
        let span = parse_hex(fields.next(), 16)? as u64;
        let flags = parse_hex(fields.next(), 2)? as u8;
        // Later versions may append fields.
        let rest_fits = rest.is_empty() || (version > 0 && rest.starts_with('-'));
        let valid = version != INVALID_VERSION && trace != 0 && span != 0;
        if valid && rest_fits && fields.next().is_none() {
            Ok(TraceContext { trace, span, flags })
        } else {
            Err(TraceparentError)
        }
    }
}

fn parse_hex(field: Option<&str>, len: usize) -> Result<u128, TraceparentError> {
    let field = field.ok_or(TraceparentError)?;
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if field.len() != len || !field.bytes().all(is_digit) {
        return Err(TraceparentError);
    }
    u128::from_str_radix(field, 16).map_err(|_| TraceparentError)
}

impl From<&SpanContext> for TraceContext {
    fn from(context: &SpanContext) -> Self {
        TraceContext {
            trace: u128::from_be_bytes(context.trace_id().to_bytes()),
            span: u64::from_be_bytes(context.span_id().to_bytes()),
            flags: context.trace_flags().to_u8(),
        }
    }
}

impl From<&TraceContext> for SpanContext {
    fn from(context: &TraceContext) -> Self {
        SpanContext::new(
            TraceId::from_bytes(context.trace.to_be_bytes()),
            SpanId::from_bytes(context.span.to_be_bytes()),
            TraceFlags::new(context.flags),
            true,
            TraceState::NONE,
        )
    }
}

/// One step of a request in its trace. The span ends when it is dropped.
#[derive(Debug)]
pub struct Span {
    context: TraceContext,
    inner: Option<opentelemetry_sdk::trace::Span>,
}

impl Span {
    /// Starts an exported span.
    pub(super) fn start(
        tracer: &SdkTracer,
        name: &'static str,
        parent: Option<&TraceContext>,
    ) -> Self {
        let mut parent_context = Context::new();
        if let Some(parent) = parent {
            parent_context = parent_context.with_remote_span_context(parent.into());
        }
        let inner = tracer.start_with_context(name, &parent_context);
        Span {
            context: inner.span_context().into(),
            inner: Some(inner),
        }
    }

    /// Creates a span that is not exported. Its context is that of `parent`, or that of a new trace
    /// if there is no parent.
    pub(super) fn disabled(parent: Option<&TraceContext>) -> Self {
        Span {
            context: parent.copied().unwrap_or_else(TraceContext::random),
            inner: None,
        }
    }

    /// Context for starting child spans, in this process or another.
    pub fn context(&self) -> TraceContext {
        self.context
    }

    /// Sets an attribute, if the span is exported.
    pub fn set_attribute(&mut self, key: &'static str, value: impl Into<Value>) {
        if let Some(inner) = &mut self.inner {
            inner.set_attribute(KeyValue::new(key, value));
        }
    }
}
