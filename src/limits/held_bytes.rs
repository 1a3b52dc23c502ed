//! Bounds the bytes that an instance holds for callers that read or send slowly.
//!
//! The load that this answers: many callers that stop reading midway, or send their requests byte by byte, while others
//! are served. Bytes are held for a caller up to a bound of its own; the process holds a share of its memory for all
//! callers together. Beyond that, whoever has made no progress for longest loses its answer, so that a caller that reads
//! or sends at all outlasts those that have stopped.

use std::collections::HashMap;

use crate::prelude::Micros;

/// Bytes held for one caller before its answer is read no further. It holds a long streamed answer whole, so that the
/// endpoint is free as soon as it has generated one.
const PER_CALLER_BYTES: usize = 256 << 10;
/// Share of the memory of the process for bytes held, which leaves the rest to everything else that it keeps.
const MEMORY_SHARE: f64 = 0.25;

/// Share of the total that answers beyond the bound of one caller may use up while they are read. The rest is for other
/// answers: the end of a long one may never come.
const LONG_ANSWERS_SHARE: f64 = 0.875;

/// Limits on the bytes held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLimits {
    /// For one caller; what is held may exceed it by what is read at once.
    pub per_caller_bytes: usize,
    /// For all callers together.
    pub total_bytes: usize,
}

impl HeldLimits {
    /// Returns the limits of a process that may use `memory_bytes`.
    pub fn of_memory(memory_bytes: u64) -> Self {
        let total_bytes = (memory_bytes as f64 * MEMORY_SHARE) as usize;
        Self {
            per_caller_bytes: PER_CALLER_BYTES.min(total_bytes),
            total_bytes,
        }
    }
}

impl HeldLimits {
    /// Returns the total up to which a holder may hold more.
    fn total_bytes_for<H>(&self, holder: &Holder<H>) -> usize {
        let is_long = holder.bytes > self.per_caller_bytes && !holder.waits_for_caller;
        match is_long {
            true => (self.total_bytes as f64 * LONG_ANSWERS_SHARE) as usize,
            false => self.total_bytes,
        }
    }
}

/// Identifies an answer or a request that bytes are held of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HolderId(u64);

/// What holding more bytes led to.
#[derive(Debug, PartialEq, Eq)]
pub struct HoldOutcome<H> {
    /// Whether they are held. Otherwise the total is used up, and nobody else can be cut.
    pub is_held: bool,
    /// The holders that were cut, which may include the one that asked.
    pub cut: Vec<CutHolder<H>>,
}

/// A holder that is cut: its bytes are no longer counted, and have to be dropped.
#[derive(Debug, PartialEq, Eq)]
pub struct CutHolder<H> {
    /// Its id.
    pub id: HolderId,
    /// Ends it.
    pub handle: H,
    /// The bytes that were held for it.
    pub bytes: usize,
    /// How long its caller had made no progress.
    pub idle_us: Micros,
}

struct Holder<H> {
    handle: H,
    bytes: usize,
    /// Whether progress is up to the caller.
    waits_for_caller: bool,
    progress_us: Micros,
}

/// Counts the bytes held for each caller; `H` ends a holder that is cut.
pub struct HeldBytes<H> {
    limits: HeldLimits,
    total_bytes: usize,
    next_id: u64,
    holders: HashMap<HolderId, Holder<H>>,
}

impl<H> HeldBytes<H> {
    /// Creates an account without holders.
    pub fn new(limits: HeldLimits) -> Self {
        Self {
            limits,
            total_bytes: 0,
            next_id: 0,
            holders: HashMap::new(),
        }
    }

    /// Replaces the limits. Lower ones take effect as further bytes are held.
    pub fn set_limits(&mut self, limits: HeldLimits) {
        self.limits = limits;
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> HeldLimits {
        self.limits
    }

    /// Returns the bytes held in all.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Adds a holder without bytes. It cannot be cut until [`HeldBytes::wait_for_caller`].
    pub fn open(&mut self, now_us: Micros, handle: H) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            handle,
            bytes: 0,
            waits_for_caller: false,
            progress_us: now_us,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder with its bytes.
    pub fn close(&mut self, id: HolderId) -> Option<H> {
        let holder = self.holders.remove(&id)?;
        self.total_bytes -= holder.bytes;
        Some(holder.handle)
    }

    /// Sets whether progress is up to the caller, from now on: it can then be cut.
    pub fn wait_for_caller(&mut self, now_us: Micros, id: HolderId, waits: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.waits_for_caller = waits;
            holder.progress_us = now_us;
        }
    }

    /// Holds more bytes for a holder. Where that exceeds the total, cuts whoever has made no progress for longest, until
    /// it fits.
    pub fn hold(&mut self, now_us: Micros, id: HolderId, bytes: usize) -> HoldOutcome<H> {
        let Some(holder) = self.holders.get_mut(&id) else {
            // It was cut before; its bytes are about to be dropped.
            return HoldOutcome {
                is_held: true,
                cut: Vec::new(),
            };
        };
        if holder.bytes == 0 {
            // A caller that had nothing to read was not slow.
            holder.progress_us = now_us;
        }
        holder.bytes += bytes;
        self.total_bytes += bytes;
        let limit_bytes = self.limits.total_bytes_for(holder);
        let mut cut = Vec::new();
        while self.total_bytes > limit_bytes {
            let Some(slowest) = self.slowest() else {
                self.release(id, bytes);
                return HoldOutcome {
                    is_held: false,
                    cut,
                };
            };
            cut.extend(self.cut(now_us, slowest));
        }
        HoldOutcome { is_held: true, cut }
    }

    /// Releases bytes that the caller has taken, which is progress.
    pub fn take(&mut self, now_us: Micros, id: HolderId, bytes: usize) {
        self.release(id, bytes);
        self.note_progress(now_us, id);
    }

    /// Notes that the caller reads or sends.
    pub fn note_progress(&mut self, now_us: Micros, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress_us = now_us;
        }
    }

    /// Releases bytes.
    pub fn release(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let released = bytes.min(holder.bytes);
            holder.bytes -= released;
            self.total_bytes -= released;
        }
    }

    /// Returns the holder with bytes whose caller has made no progress for longest.
    fn slowest(&self) -> Option<HolderId> {
        let waiting = self
            .holders
            .iter()
            .filter(|(_, h)| h.waits_for_caller && h.bytes > 0);
        let slowest = waiting.min_by_key(|(id, h)| (h.progress_us, id.0));
        slowest.map(|(id, _)| *id)
    }

    fn cut(&mut self, now_us: Micros, id: HolderId) -> Option<CutHolder<H>> {
        let holder = self.holders.remove(&id)?;
        self.total_bytes -= holder.bytes;
        Some(CutHolder {
            id,
            handle: holder.handle,
            bytes: holder.bytes,
            idle_us: now_us.saturating_sub(holder.progress_us),
        })
    }
}
