//! Between the door and the decision module: customers' limits. What they are is decided in `sanddrum-limits`.

use crate::requests::{Job, Refusal};
use crate::Inner;
use sanddrum::{Micros, RequestId};
use sanddrum_limits::{
    Admission as Decisions, AdmissionEvents, AdmissionRequest, ClientRequest, QuotaPolicy,
    RejectReason, Rejection, RetryBudget, RetryEvents,
};
use sanddrum_settings::LoadedSettings;
use std::collections::BTreeMap;

pub(crate) struct Admission {
    sharing: QuotaPolicy,
    repeats: RetryBudget,
    pub news: AdmissionEvents,
    /// Jobs that ask to be taken, as the decision module will have them.
    asking: BTreeMap<RequestId, sanddrum::Request>,
}

/// What was decided for each, in order.
#[derive(Default)]
struct Ruled(Vec<(RequestId, Option<Rejection>)>);

impl Decisions for Ruled {
    fn admit(&mut self, job: RequestId) {
        self.0.push((job, None));
    }
    fn reject(&mut self, job: RequestId, rejection: Rejection) {
        self.0.push((job, Some(rejection)));
    }
}

impl Admission {
    pub fn of(l: &LoadedSettings) -> Self {
        let settings = l.values_for_module();
        let (sharing, repeats) = (QuotaPolicy::new(&settings), RetryBudget::new(&settings));
        let news = AdmissionEvents::default();
        Admission {
            sharing,
            repeats,
            news,
            asking: BTreeMap::new(),
        }
    }
    pub fn is_waiting(&self) -> bool {
        !self.asking.is_empty()
    }
    /// A job has its final answer, or its client left.
    pub fn ended(&mut self, job: &Job) {
        if job.admitted {
            self.news.finished.push(job.customer_id);
        }
    }
}

impl Inner {
    /// A job at the door.
    pub(crate) fn ask(&mut self, job: sanddrum::Request) {
        self.admission.asking.insert(job.id, job);
    }

    /// Lets through what the limits allow, and pushes the rest back with an honest time to return: repeats first, as
    /// what is refused there must not count for its customer.
    pub(crate) fn admit(&mut self, now: Micros) {
        // Who has left meanwhile asks for nothing.
        let jobs = &self.jobs.jobs;
        let stays = |job: &&sanddrum::Request| jobs.get(&job.id).is_some_and(|job| !job.closed);
        let asking = self
            .admission
            .asking
            .values()
            .filter(stays)
            .map(|job| ClientRequest {
                request: job.id,
                is_retry: job.is_retry,
            });
        let asked = RetryEvents {
            requests: asking.collect(),
            rejected: self.admission.news.rejected,
        };
        let mut ruled = Ruled::default();
        self.admission.repeats.handle(now, &asked, &mut ruled);
        let limits = self.admission.sharing.is_active();
        let mut news = std::mem::take(&mut self.admission.news);
        for (id, over) in std::mem::take(&mut ruled.0) {
            let Some(job) = self.admission.asking.get(&id) else {
                continue;
            };
            match over {
                None if limits => news.requests.push(AdmissionRequest {
                    request: id,
                    customer: job.customer,
                }),
                over => ruled.0.push((id, over)),
            }
        }
        if limits {
            self.admission.sharing.handle(now, &news, &mut ruled);
        }
        for (id, over) in ruled.0 {
            let Some(job) = self.admission.asking.remove(&id) else {
                continue;
            };
            let Some(Rejection {
                reason,
                retry_after,
            }) = over
            else {
                self.jobs
                    .jobs
                    .entry(id)
                    .and_modify(|job| job.admitted = limits);
                self.round.requests.push(job);
                continue;
            };
            let detail = match reason {
                RejectReason::RetryBudget => "the fleet is pressed and repeats wait; the job has not run, come back after the stated time",
                _ => "this customer has what it may have for now; the job has not run, come back after the stated time",
            };
            let refusal = Refusal {
                status: 503,
                end: "pushed-back",
                reason: reason.reason(),
                detail,
                retry_after: Some(retry_after),
                job: Some(id),
            };
            self.refuse(now, id, &refusal);
        }
        self.admission.asking.clear();
    }
}
