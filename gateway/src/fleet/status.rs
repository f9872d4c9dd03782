//! Members and counters of the fleet as JSON, for operators. The keys are stable; see `docs/on-call.md`.

use glenrail_fleet::{Member, MemberState, Rejection};
use serde_json::{json, Value};

use super::driver::{state_name, Driver};

fn member_row(member: &Member, state: MemberState) -> Value {
    json!({
        "id": format!("{:016x}", member.id.0),
        "life": member.incarnation.0,
        "returns": member.rejoins,
        "address": member.address.to_string(),
        "state": state_name(state),
    })
}

/// Returns this member and all other known members.
pub(super) fn members(driver: &Driver) -> Value {
    driver.inspect(|fleet| {
        let others: Vec<_> = fleet.members().map(|(member, state)| member_row(member, state)).collect();
        json!({"me": member_row(&fleet.local_member(), MemberState::Alive), "others": others})
    })
}

/// Returns the counters of this incarnation. `key_reads` is the number of successful reloads of the key file.
pub(super) fn counters(driver: &Driver, key_reads: u64) -> Value {
    driver.inspect(|fleet| {
        let count = |expected| fleet.members().filter(|(_, state)| *state == expected).count();
        let counters = fleet.counters();
        let rejections = Rejection::REASONS.iter().zip(counters.rejected);
        let rejections = rejections.map(|(reason, count)| (reason.to_string(), count.into()));
        json!({
            "alive": count(MemberState::Alive),
            "suspect": count(MemberState::Suspect),
            "gone": count(MemberState::Failed),
            "left": count(MemberState::Left),
            "entries": fleet.table().len(),
            "refused": rejections.collect::<serde_json::Map<String, Value>>(),
            "datagrams_in": counters.datagrams_in,
            "datagrams_out": counters.datagrams_out,
            "bytes_in": counters.bytes_in,
            "bytes_out": counters.bytes_out,
            "unsent": driver.unsent_datagrams(),
            "by_second_key": counters.by_second_key,
            "key_reads": key_reads,
            "exchanges_asked": counters.exchanges_requested,
            "exchanges_broken": driver.failed_streams(),
            "entries_over_bounds": counters.entries_over_bounds,
            "late_timers": counters.late_timers,
        })
    })
}
