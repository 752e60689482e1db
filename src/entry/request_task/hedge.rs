//! The hedge of a slow request: the first dispatch with a response wins, the other is cancelled.

use super::{AgentConnection, RequestTask};
use crate::entry::messages::{HedgeDropped, HedgePromoted};
use crate::entry::routes::RequestEvent;
use crate::ids::{BootId, DispatchId};
use crate::telemetry;
use crate::wire::ToAgent;

/// A hedge that runs on another agent.
#[derive(Clone, Debug)]
pub(super) struct Hedge {
    pub(super) dispatch: DispatchId,
    pub(super) boot: BootId,
    pub(super) connection: AgentConnection,
}

impl RequestTask {
    /// Handles an event that concerns the hedge. Returns the event if it concerns the primary
    /// dispatch, which the hedge may just have become; otherwise `None`.
    pub(super) async fn handle_hedge_event(&mut self, event: RequestEvent) -> Option<RequestEvent> {
        match &event {
            RequestEvent::Hedged {
                dispatch,
                agent,
                boot,
                outbox,
            } => {
                let connection = AgentConnection {
                    agent: *agent,
                    outbox: outbox.clone(),
                };
                self.hedge = Some(Hedge {
                    dispatch: *dispatch,
                    boot: *boot,
                    connection,
                });
                self.context
                    .telemetry
                    .metrics()
                    .event(telemetry::Event::Hedge);
                if self.attempt.dispatch().is_none() || self.attempt.next_chunk() > 0 {
                    self.cancel_hedge().await;
                }
                None
            }
            RequestEvent::Head { dispatch, .. } if self.is_hedge(*dispatch) => {
                self.promote_hedge().await;
                Some(event)
            }
            RequestEvent::Declined { dispatch }
            | RequestEvent::End { dispatch, .. }
            | RequestEvent::State { dispatch, .. }
                if self.is_hedge(*dispatch) =>
            {
                self.cancel_hedge().await;
                None
            }
            RequestEvent::Disconnected { agent } | RequestEvent::Reconnected { agent, .. }
                if self
                    .hedge
                    .as_ref()
                    .is_some_and(|h| h.connection.agent == *agent) =>
            {
                self.cancel_hedge().await;
                None
            }
            RequestEvent::Head { .. } => {
                self.cancel_hedge().await;
                Some(event)
            }
            _ => Some(event),
        }
    }

    pub(super) fn is_hedge(&self, dispatch: DispatchId) -> bool {
        self.hedge.as_ref().is_some_and(|h| h.dispatch == dispatch)
    }

    /// Cancels the primary dispatch and makes the hedge the primary one.
    pub(super) async fn promote_hedge(&mut self) {
        let Some(hedge) = self.hedge.take() else {
            return;
        };
        if let Some(dispatch) = self.attempt.dispatch() {
            self.send(&ToAgent::Cancel { dispatch });
        }
        self.attempt
            .replace_dispatch(hedge.connection.agent, hedge.boot, hedge.dispatch);
        self.connection = Some(hedge.connection);
        self.spent = None;
        // The dispatcher outlives every request task.
        let _ = self.context.dispatcher.send(HedgePromoted(self.job)).await;
    }

    /// Cancels the hedge, if there is one.
    pub(super) async fn cancel_hedge(&mut self) {
        let Some(hedge) = self.hedge.take() else {
            return;
        };
        hedge.connection.outbox.send(&ToAgent::Cancel {
            dispatch: hedge.dispatch,
        });
        // The dispatcher outlives every request task.
        let _ = self.context.dispatcher.send(HedgeDropped(self.job)).await;
    }
}
