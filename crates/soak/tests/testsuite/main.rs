//! Tests of the soak's command.

mod soak_command;
