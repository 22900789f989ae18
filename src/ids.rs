//! Identifiers. Each kind has a type of its own, so that one can't be passed for another.

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

identifier!(
    /// A client's request, unique within one router.
    RequestId(u64)
);
identifier!(
    /// A worker; the same at every router and across restarts of the worker's process.
    WorkerId(u64)
);
identifier!(
    /// A function (or model) that workers load on demand.
    FunctionId(u64)
);
identifier!(
    /// A workload: the class of requests that a latency objective and a retry policy are set for.
    WorkloadId(usize)
);
identifier!(
    /// The customer (tenant) on whose behalf a request is made.
    CustomerId(usize)
);
identifier!(
    /// An availability zone.
    ZoneId(usize)
);
identifier!(
    /// A cell: a group of workers within which an idempotency key is honoured.
    CellId(usize)
);
identifier!(
    /// A kind of worker machine.
    KindId(usize)
);
identifier!(
    /// Another router of the fleet.
    PeerId(usize)
);
