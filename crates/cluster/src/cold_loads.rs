//! Temperatures of servers in the table of loads: what this node learns, what it tells, and the way in for those
//! that send.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::ServerRecord;

use crate::cold_parts::ColdShare;
use crate::loads::{LoadTable, server_number};
use crate::messages::LoadEntry;
use crate::server_loads::{HEARTBEAT_LIFE, ServerLoads};
use crate::temperature::{Checked, Teller, Temperature};

/// Time for which the temperature of a server without any news is kept: the zone of a server may be evacuated for
/// that long.
const FOLLOWED_LIFE: Duration = Duration::from_secs(600);

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX - 1)
}

impl LoadEntry {
    /// Takes over what another entry says of the server's temperature, when that is newer; `age` is the time since
    /// that entry came.
    pub(crate) fn take_newer_check(&mut self, entry: &LoadEntry, age: Duration) {
        if entry.asked_ms == 0 {
            return;
        }
        let asked_ms = entry.asked_ms.saturating_add(millis(age));
        if self.asked_ms == 0 || asked_ms < self.asked_ms {
            self.asked_ms = asked_ms;
            self.cold_ms = entry.cold_ms;
        }
    }

    fn check(&self, at: Instant) -> Option<Checked> {
        let age_ms = u64::from(self.asked_ms.checked_sub(1)?);
        Some(Checked {
            at: at.checked_sub(Duration::from_millis(age_ms))?,
            cold: Duration::from_millis(u64::from(self.cold_ms)),
        })
    }
}

impl ServerLoads {
    /// Age of this node's own newest question, plus one, and how long the server was cold then.
    pub(crate) fn own_check_told(&self, now: Instant) -> (u32, u32) {
        let told = self.own_check.filter(|check| check.is_told(now));
        told.map_or((0, 0), |check| {
            let age = now.duration_since(check.at);
            (millis(age) + 1, millis(check.cold))
        })
    }

    /// Takes over what other nodes tell of the server's temperature.
    pub(crate) fn take_thermal_news(&mut self, now: Instant) {
        if !self.thermal.is_followed() {
            return;
        }
        for (at, entry) in self.peers.values() {
            if now.duration_since(*at) >= HEARTBEAT_LIFE {
                continue;
            }
            if let Some(check) = entry.check(*at) {
                self.thermal.note_checked(check, Teller::Node, now);
            }
            let heard_ms = entry.heard_ms.checked_sub(1);
            let heard = heard_ms.and_then(|ms| at.checked_sub(Duration::from_millis(ms.into())));
            if let Some(heard) = heard {
                self.thermal.note_heard(heard);
            }
            if entry.suspect && *at == now {
                self.thermal.note_told_silent(now);
            }
        }
    }

    /// The server's temperature; `None` where nobody asks for it.
    pub(crate) fn followed_temperature(&self, now: Instant) -> Option<Temperature> {
        let followed = self.thermal.is_followed();
        followed.then(|| self.thermal.temperature(now).0)
    }

    /// Whether the server's temperature is to be kept though there is no work.
    pub(crate) fn is_followed(&self, now: Instant) -> bool {
        let followed = self
            .heard
            .is_none_or(|at| now.duration_since(at) < FOLLOWED_LIFE);
        self.thermal.is_followed() && followed
    }
}

impl LoadTable {
    /// The temperature of a server whose row is `server`, and what told of it.
    pub fn temperature(&self, server: &ServerRecord) -> (Temperature, Teller) {
        let now = Instant::now();
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(&server.id)).or_default();
        loads.thermal.note_row(server.cold_left_ms, now);
        loads.thermal.note_unused(now);
        loads.thermal.temperature(now)
    }

    /// When a server was first seen, or found to be back after a time out of sight; connections that are older may be
    /// dead.
    pub fn back(&self, server: &str) -> Option<Instant> {
        let servers = self.servers.lock();
        servers.get(&server_number(server))?.thermal.back()
    }

    /// Whether the server is known to have answered somebody since it went out of sight.
    pub fn is_alive(&self, server: &str) -> bool {
        let servers = self.servers.lock();
        let loads = servers.get(&server_number(server));
        loads.is_some_and(|loads| loads.thermal.is_alive(Instant::now()))
    }

    /// Takes the server's own answer to a health question, for this node and the others.
    pub fn note_checked(&self, server: &str, asked: Instant, cold: Duration) {
        let check = Checked { at: asked, cold };
        let now = Instant::now();
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        loads.thermal.note_checked(check, Teller::Health, now);
        loads.own_check = Some(check);
        loads.untold = true;
        self.change.notify_one();
    }

    /// The server answered a health question without telling how cold it is.
    pub fn note_reached(&self, server: &str) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        loads.thermal.note_reached(Instant::now());
    }

    /// Operators took the server back into use, as this node learnt at some time: nobody knows how cold it is.
    pub fn note_taken_back(&self, server: &str, at: Instant) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        loads.thermal.note_taken_back(at, Instant::now());
    }

    /// Whether this node's part of a cold server's requests has something left.
    pub fn has_cold_part(&self, server: &str, share: ColdShare) -> bool {
        self.cold
            .has_left(server_number(server), share.requests, Instant::now())
    }

    /// Takes one request out of this node's part; `false` when nothing is left.
    pub fn take_cold_part(&self, server: &str, share: ColdShare) -> bool {
        self.cold
            .take(server_number(server), share.requests, Instant::now())
    }
}
