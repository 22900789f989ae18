//! Between the door and the decision module: customers' limits. What they are is decided in `sanddrum-limits`.

use crate::jobs::{Job, Refusal};
use crate::Inner;
use sanddrum::{JobId, Micros};
use sanddrum_limits::{Admission as Decisions, News, Over, Sharing};
use sanddrum_settings::Loaded;
use std::collections::BTreeMap;

pub(crate) struct Admission {
    sharing: Sharing,
    pub news: News,
    /// Jobs that ask to be taken, as the decision module will have them.
    asking: BTreeMap<JobId, sanddrum::Job>,
}

/// What was decided for each, in order.
#[derive(Default)]
struct Ruled(Vec<(JobId, Option<(Over, Micros)>)>);

impl Decisions for Ruled {
    fn take(&mut self, job: JobId) {
        self.0.push((job, None));
    }
    fn push_back(&mut self, job: JobId, why: Over, wait: Micros) {
        self.0.push((job, Some((why, wait))));
    }
}

impl Admission {
    pub fn of(l: &Loaded) -> Self {
        let sharing = Sharing::new(&l.values_for_module());
        Admission { sharing, news: News::default(), asking: BTreeMap::new() }
    }
    pub fn is_waiting(&self) -> bool {
        !self.asking.is_empty()
    }
    /// A job has its final answer, or its client left.
    pub fn ended(&mut self, job: &Job) {
        if job.admitted {
            self.news.ended.push(job.customer_id);
        }
    }
}

impl Inner {
    /// A job at the door.
    pub(crate) fn ask(&mut self, job: sanddrum::Job) {
        if self.admission.sharing.limits_anything() {
            self.admission.news.asked.push((job.id, job.customer));
            self.admission.asking.insert(job.id, job);
        } else {
            self.round.jobs.push(job);
        }
    }

    /// Lets through what the limits allow, and pushes the rest back with an honest time to return.
    pub(crate) fn admit(&mut self, now: Micros) {
        if !self.admission.sharing.limits_anything() {
            self.admission.news = News::default();
            return;
        }
        let mut news = std::mem::take(&mut self.admission.news);
        // Who has left meanwhile asks for nothing.
        let jobs = &self.jobs.jobs;
        news.asked.retain(|(job, _)| jobs.get(job).is_some_and(|job| !job.closed));
        let mut ruled = Ruled::default();
        self.admission.sharing.round(now, &news, &mut ruled);
        for (id, over) in ruled.0 {
            let Some(job) = self.admission.asking.remove(&id) else { continue };
            let Some((why, wait)) = over else {
                self.jobs.jobs.entry(id).and_modify(|job| job.admitted = true);
                self.round.jobs.push(job);
                continue;
            };
            let refusal = Refusal {
                status: 503,
                end: "pushed-back",
                reason: why.reason(),
                detail: "this customer has what it may have for now; the job has not run, come back after the stated time",
                retry_after: Some(wait),
                job: Some(id),
            };
            self.refuse(id, &refusal);
        }
        self.admission.asking.clear();
    }
}
