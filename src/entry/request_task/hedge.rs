//! The second copy of a late request: it stands in for the first, or is dropped.

use super::{Link, RequestTask};
use crate::entry::messages::{HedgeDropped, HedgePromoted};
use crate::entry::routes::RequestEvent;
use crate::ids::{BootId, DispatchId};
use crate::telemetry;
use crate::wire::ToAgent;

/// A second copy on its way to another agent.
#[derive(Clone, Debug)]
pub(super) struct Second {
    pub(super) dispatch: DispatchId,
    pub(super) boot: BootId,
    pub(super) link: Link,
}

impl RequestTask {
    /// Takes an event in that concerns the second copy; gives back what concerns the first.
    pub(super) async fn about_second(&mut self, event: RequestEvent) -> Option<RequestEvent> {
        match &event {
            RequestEvent::Hedged {
                dispatch,
                agent,
                boot,
                outbox,
            } => {
                let link = Link {
                    agent: *agent,
                    outbox: outbox.clone(),
                };
                self.second = Some(Second {
                    dispatch: *dispatch,
                    boot: *boot,
                    link,
                });
                self.context
                    .telemetry
                    .metrics()
                    .event(telemetry::Event::Hedge);
                if self.attempt.dispatch().is_none() || self.attempt.next() > 0 {
                    self.drop_second().await;
                }
                None
            }
            RequestEvent::Head { dispatch, .. } if self.is_second(*dispatch) => {
                self.promote().await;
                Some(event)
            }
            RequestEvent::Declined { dispatch }
            | RequestEvent::End { dispatch, .. }
            | RequestEvent::State { dispatch, .. }
                if self.is_second(*dispatch) =>
            {
                self.drop_second().await;
                None
            }
            RequestEvent::Disconnected { agent } | RequestEvent::Reconnected { agent, .. }
                if self.second.as_ref().is_some_and(|s| s.link.agent == *agent) =>
            {
                self.drop_second().await;
                None
            }
            RequestEvent::Head { .. } => {
                self.drop_second().await;
                Some(event)
            }
            _ => Some(event),
        }
    }

    pub(super) fn is_second(&self, dispatch: DispatchId) -> bool {
        self.second.as_ref().is_some_and(|s| s.dispatch == dispatch)
    }

    /// The second copy stands in for the first, which is cancelled.
    pub(super) async fn promote(&mut self) {
        let Some(second) = self.second.take() else {
            return;
        };
        if let Some(dispatch) = self.attempt.dispatch() {
            self.send(&ToAgent::Cancel { dispatch });
        }
        self.attempt
            .replace_dispatch(second.link.agent, second.boot, second.dispatch);
        self.link = Some(second.link);
        self.spent = None;
        // The dispatcher outlives every request.
        let _ = self.context.dispatcher.send(HedgePromoted(self.job)).await;
    }

    /// The second copy is not wanted any more.
    pub(super) async fn drop_second(&mut self) {
        let Some(second) = self.second.take() else {
            return;
        };
        second.link.outbox.send(&ToAgent::Cancel {
            dispatch: second.dispatch,
        });
        // The dispatcher outlives every request.
        let _ = self.context.dispatcher.send(HedgeDropped(self.job)).await;
    }
}
