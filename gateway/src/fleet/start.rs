//! Parameters for starting a member, from the operators' file and the platform's settings. They are read once; only the
//! keys are read again at each reload.

use std::io;
use std::path::{Path, PathBuf};

use glenrail_fleet::{Incarnation, Keyring};

use super::config::{self, Section};
use super::error::FleetError;
use super::{incarnation, keys};

/// Settings of the platform that concern the fleet.
pub struct PlatformSettings {
    /// Whether the platform permits messages among gateways.
    pub gossip_permitted: bool,
    /// State directory of this gateway.
    pub state: PathBuf,
}

/// Validated parameters for starting the member.
pub struct MemberConfig {
    pub(super) file: PathBuf,
    pub(super) section: Section,
    /// Name of this gateway.
    pub(super) member: String,
    life_file: Option<PathBuf>,
}

impl MemberConfig {
    /// Reads the file and the keys, and returns an error if the platform forbids messages among gateways. Opens no
    /// sockets. `name` is the name of this gateway from the platform or the environment; it takes precedence over that
    /// in the file.
    pub fn read(
        file: &Path, name: Option<String>, platform: Option<&PlatformSettings>,
    ) -> Result<(MemberConfig, Keyring), FleetError> {
        let section = config::read(file)?;
        if platform.is_some_and(|platform| !platform.gossip_permitted) {
            return Err(FleetError::Forbidden { file: file.into() });
        }
        let member = name.or(section.member.clone()).filter(|name| !name.is_empty());
        let member = member.ok_or_else(|| FleetError::NoName { file: file.into() })?;
        let keys = read_keys(&section, &section.name)?;
        let in_state = || platform.map(|platform| platform.state.join("life"));
        let life_file = section.life_file.clone().or_else(in_state);
        Ok((MemberConfig { file: file.into(), section, member, life_file }, keys))
    }

    /// Reads the keys again, with the fleet name that the member was started with.
    pub(super) fn reload_keys(&self) -> Result<Keyring, FleetError> {
        read_keys(&config::read(&self.file)?, &self.section.name)
    }

    /// Returns the incarnation for a start at this time, after storing it.
    pub(super) fn next_incarnation(&self) -> Result<Incarnation, FleetError> {
        let file = self.life_file.as_deref();
        incarnation::next(incarnation::unix_time_ms(), file).map_err(|error| FleetError::Incarnation {
            file: file.map(Path::to_path_buf).unwrap_or_default(),
            error,
        })
    }

    /// Returns the error for a failed bind.
    pub(super) fn cannot_bind(&self, error: io::Error) -> FleetError {
        FleetError::Bind { file: self.file.clone(), address: self.section.bind, error }
    }
}

fn read_keys(section: &Section, fleet: &str) -> Result<Keyring, FleetError> {
    let file = &section.key_file;
    keys::read(file, fleet).map_err(|error| FleetError::Keys { file: file.clone(), error })
}
