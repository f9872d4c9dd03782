//! Formatting of the report as text, which operators' tools parse.

use std::fmt::Write;

use super::{
    LossReport, ServerCount, ServerKey, TurnResult, STARVED_CLASS_THRESHOLD, STARVED_TENANT_THRESHOLD,
};

/// Maximum number of servers of one role in the report.
const MAX_LISTED_SERVERS: usize = 8;

impl LossReport {
    /// The report as text. For each result other than "in time", it lists the requests of the `details` turns with the
    /// greatest weight.
    pub fn table(&self, details: usize) -> String {
        let mut text = format!("requests {}  turns {}\n", self.requests, self.turns);
        self.write_results(&mut text);
        self.write_attempts(&mut text);
        text += &self.classes.table("class", STARVED_CLASS_THRESHOLD);
        text += &self.tenants.table("tenant", STARVED_TENANT_THRESHOLD);
        for (after, count) in &self.rejected {
            let _ = writeln!(text, "refused, {after:<22}{count:>7}");
        }
        for is_prefill in [true, false] {
            self.write_servers(&mut text, is_prefill);
        }
        if details > 0 {
            self.write_details(&mut text, details);
        }
        text
    }

    fn write_results(&self, text: &mut String) {
        for result in TurnResult::ALL {
            let turns = self.results.get(&result).map_or(0, |sum| sum.turns);
            let percent = 100.0 * self.share(result);
            let _ = writeln!(text, "{:<38}{turns:>7} turns {percent:>7.2}% of the worth", result.name());
        }
    }

    fn write_attempts(&self, text: &mut String) {
        for (kind, count) in &self.attempts {
            let stage = if kind.is_prefill { "read" } else { "run " };
            let (outcome, attempts, slow_start) = (&kind.outcome, count.attempts, count.at_slow_start);
            let _ = writeln!(text, "{stage} {outcome:<14}{attempts:>7}   {slow_start:>6} at cold servers");
        }
    }

    fn write_servers(&self, text: &mut String, is_prefill: bool) {
        let of_role = self.servers.iter().filter(|(key, _)| key.is_prefill == is_prefill);
        let mut servers: Vec<(&ServerKey, &ServerCount)> = of_role.collect();
        servers.sort_by(|a, b| b.1.time_ms.total_cmp(&a.1.time_ms));
        let listed = servers.len().min(MAX_LISTED_SERVERS);
        let _ = writeln!(text, "{listed} of {} servers, most time first:", servers.len());
        for (key, count) in servers.into_iter().take(MAX_LISTED_SERVERS) {
            let mean_ms = count.time_ms / count.attempts as f64;
            let ServerCount { attempts, lost, .. } = count;
            let server = &key.server;
            let _ = writeln!(
                text,
                "    {server:<18}{attempts:>6} attempts {lost:>5} lost {mean_ms:>8.0} ms each"
            );
        }
    }

    fn write_details(&self, text: &mut String, details: usize) {
        for result in TurnResult::ALL.into_iter().filter(|result| *result != TurnResult::InTime) {
            let mut turns: Vec<_> = self.details.get(&result).into_iter().flatten().collect();
            turns.sort_by(|a, b| b.weight.total_cmp(&a.weight));
            for turn in turns.into_iter().take(details) {
                let _ = write!(text, "{}\n{}", result.name(), turn.lines);
            }
        }
    }
}
