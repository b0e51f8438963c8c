//! Settings in INI format: files with line numbers, typed values, and the program's own settings.
//!
//! The format is that of most INI readers: `[section]`, `key = value`, and comments that start with `;` or `#` at the
//! beginning of a line, or with `;` after a blank. Makes no decisions.

mod council;
mod ini;
mod program;
mod values;

pub use council::ConsensusSettings;
pub use ini::{Entry, Ini, Section, SettingsError};
pub use program::{
    ExpectSettings, Format, HandoverSettings, LOG_TARGETS, Level, LogSettings, MembershipSettings,
    ProgramSettings,
};
pub use values::{duration, flag, list, nearest, number, one_of, unknown, whole};
