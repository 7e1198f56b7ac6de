//! Spans: one for each hop of a request, tied together by `traceparent`.

use std::collections::HashMap;
use std::fmt;

use http::HeaderValue;
use opentelemetry::trace::{Span as _, SpanKind, Status, TraceContextExt as _, Tracer as _};
use opentelemetry::{Context, KeyValue, global};

use crate::telemetry::SCOPE;

/// The name of the header that carries the trace context.
const TRACEPARENT: &str = "traceparent";

/// One hop of a request. Its span ends when it is dropped.
pub(crate) struct Hop {
    context: Context,
}

impl Hop {
    /// The hop at which a request arrives, below the caller's own span if it names one.
    pub(crate) fn arrive(
        name: &'static str,
        traceparent: Option<&str>,
        attributes: impl IntoIterator<Item = KeyValue>,
    ) -> Hop {
        let fields = traceparent.map(|it| (TRACEPARENT.to_owned(), it.to_owned()));
        let carrier: HashMap<String, String> = fields.into_iter().collect();
        let parent = global::get_text_map_propagator(|it| it.extract(&carrier));
        Hop::start(name, SpanKind::Server, &parent, attributes)
    }

    /// A hop towards a target or a peer.
    pub(crate) fn leave(
        &self,
        name: &'static str,
        attributes: impl IntoIterator<Item = KeyValue>,
    ) -> Hop {
        Hop::start(name, SpanKind::Client, &self.context, attributes)
    }

    /// A hop within this entry, such as its queue.
    pub(crate) fn within(&self, name: &'static str) -> Hop {
        Hop::start(name, SpanKind::Internal, &self.context, [])
    }

    /// The header to send with this hop.
    pub(crate) fn traceparent(&self) -> Option<HeaderValue> {
        let mut carrier = HashMap::new();
        global::get_text_map_propagator(|it| it.inject_context(&self.context, &mut carrier));
        carrier.get(TRACEPARENT).and_then(|it| HeaderValue::from_str(it).ok())
    }

    /// Marks the hop as failed.
    pub(crate) fn fail(&self, why: impl fmt::Display) {
        self.context.span().set_status(Status::error(why.to_string()));
    }

    fn start(
        name: &'static str,
        kind: SpanKind,
        parent: &Context,
        attributes: impl IntoIterator<Item = KeyValue>,
    ) -> Hop {
        let tracer = global::tracer(SCOPE);
        let builder = tracer.span_builder(name).with_kind(kind);
        let mut span = tracer.build_with_context(builder, parent);
        span.set_attributes(attributes);
        Hop { context: parent.with_span(span) }
    }
}

impl Drop for Hop {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
