//! Reads an HAProxy configuration line by line, and chooses a backend for each part of the API.

use std::collections::BTreeMap;
use std::mem::take;

use super::line::{
    address, milliseconds, part_by_name, reject_remaining_words, server, tested_part, ApiPart, SkipReason,
};
use super::{ChosenBackends, SkippedLine};
use crate::config::ServerConfig;

/// Settings of a `backend` or `listen` section, or their defaults from `defaults`.
#[derive(Default)]
pub(super) struct Backend {
    line: usize,
    pub(super) servers: Vec<ServerConfig>,
    pub(super) connect_ms: Option<u64>,
    pub(super) server_ms: Option<u64>,
}

/// Kind of a supported section.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SectionKind {
    Global,
    Defaults,
    Frontend,
    Backend,
    Listen,
}

impl SectionKind {
    fn parse(keyword: &str) -> Option<SectionKind> {
        match keyword {
            "global" => Some(SectionKind::Global),
            "defaults" => Some(SectionKind::Defaults),
            "frontend" => Some(SectionKind::Frontend),
            "backend" => Some(SectionKind::Backend),
            "listen" => Some(SectionKind::Listen),
            _ => None,
        }
    }

    fn has_clients(self) -> bool {
        matches!(self, SectionKind::Frontend | SectionKind::Listen)
    }

    fn has_servers(self) -> bool {
        matches!(self, SectionKind::Backend | SectionKind::Listen)
    }
}

#[derive(Clone)]
struct Section {
    kind: SectionKind,
    name: String,
}

struct Bind {
    line: usize,
    address: String,
}

/// Assignment of requests to a backend by `use_backend`, `default_backend` or a `listen` section.
struct Rule {
    line: usize,
    /// Part of the API that the test of the rule selects; `None` for a rule without a test.
    part: Option<ApiPart>,
    backend: String,
}

/// State of the reader: everything read so far.
#[derive(Default)]
pub(super) struct Reader {
    section: Option<Section>,
    pub(super) left_out: Vec<SkippedLine>,
    bind: Option<Bind>,
    pub(super) max_connections: Option<usize>,
    pub(super) defaults: Backend,
    pub(super) client_ms: Option<u64>,
    pub(super) backends: BTreeMap<String, Backend>,
    /// Named path tests (`acl`), each with the part of the API that it selects.
    acls: BTreeMap<String, ApiPart>,
    rules: Vec<Rule>,
}

impl Reader {
    /// Reads a line; `line` is its number.
    pub(super) fn read_line(&mut self, line: usize, text: &str) {
        let words: Vec<&str> = text.split('#').next().unwrap_or("").split_whitespace().collect();
        let Some((keyword, values)) = words.split_first() else { return };
        if let Some(kind) = SectionKind::parse(keyword) {
            let name = values.first().unwrap_or(&"").to_string();
            return self.begin_section(line, Section { kind, name });
        }
        if let Err(reason) = self.read_setting(line, &words) {
            self.left_out.push(SkippedLine { line, reason });
        }
    }

    fn begin_section(&mut self, line: usize, section: Section) {
        if section.kind.has_servers() {
            self.backend(&section.name).line = line;
        }
        if section.kind == SectionKind::Listen {
            self.rules.push(Rule { line, part: None, backend: section.name.clone() });
        }
        self.section = Some(section);
    }

    fn backend(&mut self, name: &str) -> &mut Backend {
        self.backends.entry(name.to_string()).or_default()
    }

    fn read_setting(&mut self, line: usize, words: &[&str]) -> Result<(), SkipReason> {
        let Some(section) = self.section.clone() else { return Err(SkipReason::OutsideSections) };
        let kind = section.kind;
        match words {
            ["bind", listen, more @ ..] if kind.has_clients() => self.read_bind(line, listen, more),
            ["maxconn", number] if kind != SectionKind::Backend => self.read_max_connections(number),
            ["mode", "http"] if kind != SectionKind::Global => Ok(()),
            ["timeout", timer, time] if kind != SectionKind::Global => {
                self.read_timeout(&section, timer, time)
            }
            ["acl", name, test, paths @ ..] if kind.has_clients() => {
                let part = tested_part(test, paths).ok_or(SkipReason::UnknownTest)?;
                self.acls.insert(name.to_string(), part);
                Ok(())
            }
            ["default_backend", backend] if kind.has_clients() => {
                self.rules.push(Rule { line, part: None, backend: backend.to_string() });
                Ok(())
            }
            ["use_backend", backend, "if", test @ ..] if kind.has_clients() => {
                let part = self.part_of_test(test).ok_or(SkipReason::UnknownRuleTest)?;
                self.rules.push(Rule { line, part: Some(part), backend: backend.to_string() });
                Ok(())
            }
            ["server", name, dial, options @ ..] if kind.has_servers() => {
                let dial = address(dial).ok_or(SkipReason::NoServerAddress)?;
                let (server, left_out) = server(name, dial, options);
                self.backend(&section.name).servers.push(server);
                reject_remaining_words(&left_out)
            }
            _ => no_counterpart(words),
        }
    }

    fn read_bind(&mut self, line: usize, listen: &str, more: &[&str]) -> Result<(), SkipReason> {
        if let Some(bind) = &self.bind {
            return Err(SkipReason::SecondAddress { first: bind.line });
        }
        let address = address(listen).ok_or(SkipReason::NoAddress)?;
        self.bind = Some(Bind { line, address });
        reject_remaining_words(more)
    }

    /// Keeps the lowest `maxconn` of all sections, as the second front has a single limit.
    fn read_max_connections(&mut self, number: &str) -> Result<(), SkipReason> {
        let number: usize = number.parse().unwrap_or(0);
        if number == 0 {
            return Err(SkipReason::NoNumber);
        }
        self.max_connections = Some(self.max_connections.map_or(number, |lowest| lowest.min(number)));
        Ok(())
    }

    fn read_timeout(&mut self, section: &Section, timer: &str, time: &str) -> Result<(), SkipReason> {
        let time_ms = milliseconds(time).ok_or_else(|| SkipReason::NoTime(time.to_string()))?;
        let backend = match section.kind.has_servers() {
            true => self.backend(&section.name),
            false => &mut self.defaults,
        };
        match timer {
            "connect" => backend.connect_ms = Some(time_ms),
            "server" => backend.server_ms = Some(time_ms),
            "client" => self.client_ms = Some(time_ms),
            _ => return no_counterpart(&["timeout", timer, time]),
        }
        Ok(())
    }

    /// Returns the part of the API that the test of a rule selects: an anonymous test in braces, or the name of an
    /// `acl`.
    fn part_of_test(&self, test: &[&str]) -> Option<ApiPart> {
        match test {
            ["{", test, paths @ .., "}"] => tested_part(test, paths),
            [acl] => self.acls.get(*acl).copied(),
            _ => None,
        }
    }

    /// Returns the address of the `bind` line that was converted.
    pub(super) fn listen_address(&self) -> Option<String> {
        self.bind.as_ref().map(|bind| bind.address.clone())
    }

    /// Chooses a backend for each part of the API by the rules, and records unusable rules and unused backends as left
    /// out.
    pub(super) fn choose_backends(&mut self) -> ChosenBackends {
        let mut chosen = ChosenBackends::default();
        let mut rules = take(&mut self.rules);
        // As in HAProxy, rules with a test take precedence over those without.
        rules.sort_by_key(|rule| rule.part.is_none());
        for rule in rules {
            let line = rule.line;
            if let Err(reason) = self.follow_rule(rule, &mut chosen) {
                self.left_out.push(SkippedLine { line, reason });
            }
        }
        for (name, backend) in &self.backends {
            if !chosen.contains(name) {
                let reason = SkipReason::UnusedBackend(name.clone());
                self.left_out.push(SkippedLine { line: backend.line, reason });
            }
        }
        chosen
    }

    fn follow_rule(&self, rule: Rule, chosen: &mut ChosenBackends) -> Result<(), SkipReason> {
        let Rule { part, backend, .. } = rule;
        if !self.backends.contains_key(&backend) {
            return Err(SkipReason::NoBackend(backend));
        }
        let part = part.unwrap_or_else(|| part_by_name(&backend));
        match chosen.part(part) {
            Some(other) if *other != backend => Err(SkipReason::PartServed { backend: other.clone() }),
            slot => {
                *slot = Some(backend);
                Ok(())
            }
        }
    }
}

fn no_counterpart(words: &[&str]) -> Result<(), SkipReason> {
    Err(SkipReason::NoCounterpart(words.join(" ")))
}
