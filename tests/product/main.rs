//! The program as an operator meets it: settings, checks, traces and replays with stated outcomes.

mod check;
mod cli;
mod replay;
