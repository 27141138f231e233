//! The names of zones and machine types, as the settings list them.

/// The names that places and machines have in the settings.
pub struct LocationNames {
    pub zones: Vec<String>,
    pub machine_types: Vec<String>,
}
