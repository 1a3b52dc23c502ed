//! How often instances of a large group report, and aggregators send summaries.
//!
//! An aggregator takes the reports of its whole data centre and sends each of its instances a summary. Both come
//! less often the more instances there are, so that its work stays the same.

use crate::prelude::Micros;

/// Shortest time between two reports of an instance with news of its requests.
const MIN_REPORT_US: Micros = 40_000;
const REPORT_PER_INSTANCE_US: Micros = 1_000;
/// An instance reports at least this often, so that the others know that it lives.
const MAX_REPORT_US: Micros = 250_000;
const MAX_REPORT_PER_INSTANCE_US: Micros = 3_000;
/// Shortest time between two summaries: two aggregators, 40 ms apart in the mean, make what is believed about as old
/// as a round.
const MIN_SUMMARY_US: Micros = 80_000;
const SUMMARY_PER_INSTANCE_US: Micros = 2_500;

/// The times of a data centre with a number of instances.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportIntervals {
    /// The instances of the data centre.
    pub instances: usize,
}

impl ReportIntervals {
    /// Returns the shortest time between two reports.
    pub fn min_report_us(self) -> Micros {
        MIN_REPORT_US.max(self.scaled(REPORT_PER_INSTANCE_US))
    }

    /// Returns the longest time between two reports.
    pub fn max_report_us(self) -> Micros {
        MAX_REPORT_US.max(self.scaled(MAX_REPORT_PER_INSTANCE_US))
    }

    /// Returns the shortest time between two summaries.
    pub fn min_summary_us(self) -> Micros {
        MIN_SUMMARY_US.max(self.scaled(SUMMARY_PER_INSTANCE_US))
    }

    fn scaled(self, per_instance_us: Micros) -> Micros {
        self.instances as Micros * per_instance_us
    }
}
