//! How often the instances of a large cluster report, and its aggregators send summaries.
//!
//! An aggregator receives the reports of its whole hall and sends each of the hall's instances a summary. Both
//! intervals grow with the number of instances, so that the aggregator's work stays constant.

use crate::prelude::Micros;

/// Minimum time between two reports of an instance whose load has changed.
const MIN_REPORT_US: Micros = 40_000;
/// Lower bound for the same, per instance of the hall.
const REPORT_PER_INSTANCE_US: Micros = 1_000;
/// Maximum time between two reports, so that the others see that the instance is alive.
const MAX_REPORT_US: Micros = 250_000;
/// Lower bound for the same, per instance of the hall.
const MAX_REPORT_PER_INSTANCE_US: Micros = 3_000;
/// Minimum time between two summaries of an aggregator. The summaries of two aggregators are 40 ms apart on average,
/// so load estimates are about one round old.
const MIN_SUMMARY_US: Micros = 80_000;
/// Lower bound for the same, per instance of the hall.
const SUMMARY_PER_INSTANCE_US: Micros = 2_500;

/// The intervals for a hall of a given size.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportIntervals {
    /// Number of instances in the hall.
    pub instances: usize,
}

impl ReportIntervals {
    /// Returns the minimum time between two reports.
    pub fn min_report_us(self) -> Micros {
        MIN_REPORT_US.max(self.scaled(REPORT_PER_INSTANCE_US))
    }

    /// Returns the maximum time between two reports.
    pub fn max_report_us(self) -> Micros {
        MAX_REPORT_US.max(self.scaled(MAX_REPORT_PER_INSTANCE_US))
    }

    /// Returns the minimum time between two summaries.
    pub fn min_summary_us(self) -> Micros {
        MIN_SUMMARY_US.max(self.scaled(SUMMARY_PER_INSTANCE_US))
    }

    fn scaled(self, per_instance_us: Micros) -> Micros {
        self.instances as Micros * per_instance_us
    }
}
