//! Identifiers. Each kind has its own type, so that the compiler rejects mix-ups.

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
    /// A worker. The identifier is the same at every router and across restarts of the worker.
    WorkerId(u64)
);
identifier!(
    /// A function (or model) that workers load on demand.
    FunctionId(u64)
);
identifier!(
    /// A workload: a class of requests with a common latency objective and retry policy.
    WorkloadId(usize)
);
identifier!(
    /// A customer (tenant) for whom requests are made.
    CustomerId(usize)
);
identifier!(
    /// An availability zone.
    ZoneId(usize)
);
identifier!(
    /// A cell: a group of workers that may share the scope of an idempotency key.
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
