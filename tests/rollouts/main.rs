//! Tests of the decisions on roll-outs of a service's version, in virtual time.

mod evidence;
mod exposure;
mod judgement;
mod play;
mod stages;
