//! Gateways with this crate's decisions: they exchange reports and messages that arrive late or are lost, or
//! none at all.

use std::collections::BTreeMap;

use glenrail_overload::amplification::{Amplification, RetryRatioLimiter};
use glenrail_overload::budget::{Budget, BudgetConfig, LendingOffer, Message};
use glenrail_overload::level::{
    AppliedLevel, ClassRates, DesiredLevel, FleetView, MemberReport, ReceivedReport, RoleQueueWait,
    MAX_REPORT_AGE,
};
use glenrail_overload::priority::{Admission, Decision, Request, RetryAfterBounds, ServedSessions};
use glenrail_overload::standalone::StandaloneGateway;
use glenrail_overload::{wire, Ms, PerMille};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::policy::{AdmissionPolicy, Turn, FIRST_TOKEN_TARGET, GATEWAY_COUNT};

/// Interval of reports in milliseconds.
const REPORT_INTERVAL: Ms = 200;
/// Share of datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.05;
/// Target (ms) for the wait in the queues of engines.
const QUEUE_WAIT_TARGET: Ms = FIRST_TOKEN_TARGET * 3 / 10;
/// Retries per second of the whole fleet, in thousandths.
pub const RETRY_BUDGET: u32 = 40_000;
/// Further attempts in thousandths of first ones.
const RETRY_RATIO: PerMille = 180;

struct Gateway {
    is_running: bool,
    desired: DesiredLevel,
    applied: AppliedLevel,
    standalone: StandaloneGateway,
    admission: Admission,
    budget: Budget,
    retry_limiter: RetryRatioLimiter,
    class_rates: BTreeMap<u8, ClassRates>,
    work_by_band: BTreeMap<u8, u32>,
    sequence: u64,
    /// Newest report of each member, and the time at which it was sent.
    reports: BTreeMap<usize, (Ms, MemberReport)>,
    view: FleetView,
}

enum Datagram {
    Report(usize, Ms, Vec<u8>),
    Budget(usize, Vec<u8>),
}

pub struct CoordinatedGateways {
    exchanges_messages: bool,
    rng: StdRng,
    gateways: Vec<Gateway>,
    /// Datagrams in transit: arrival time, receiver and content.
    network: Vec<(Ms, usize, Datagram)>,
}

impl CoordinatedGateways {
    pub fn new(exchanges_messages: bool, seed: u64) -> Self {
        let share_owners = GATEWAY_COUNT as u32;
        let (total, lease_duration) = (RETRY_BUDGET, 2_000);
        let config = BudgetConfig {
            total,
            share_owners,
            owns_share: true,
            floor: 250,
            lease_duration,
            max_clock_drift: 100,
            witnesses: 1,
            burst_duration: 1_000,
        };
        let bounds = RetryAfterBounds { enabled: true, min: 200, max: 5_000 };
        let gateway = |n| {
            let standalone = StandaloneGateway::new(share_owners, 0);
            let budget = if exchanges_messages {
                Budget::new(config, n, 1, 0)
            } else {
                standalone.budget(RETRY_BUDGET, 1_000, 0)
            }
            .expect("a valid configuration");
            Gateway {
                is_running: true,
                desired: DesiredLevel::new(0),
                applied: AppliedLevel::new(0),
                standalone,
                admission: Admission::new(bounds, ServedSessions::new(50_000, 60_000, 0)),
                budget,
                retry_limiter: RetryRatioLimiter::new(RETRY_RATIO, 40, 0),
                class_rates: BTreeMap::new(),
                work_by_band: BTreeMap::new(),
                sequence: 0,
                reports: BTreeMap::new(),
                view: FleetView::default(),
            }
        };
        let gateways = (0..GATEWAY_COUNT as u64).map(gateway).collect();
        CoordinatedGateways {
            exchanges_messages,
            rng: StdRng::seed_from_u64(seed),
            gateways,
            network: Vec::new(),
        }
    }

    fn send(&mut self, now: Ms, to: usize, datagram: Datagram) {
        if self.rng.random::<f64>() >= DATAGRAM_LOSS {
            let delay = self.rng.random_range(20..200);
            self.network.push((now + delay, to, datagram));
        }
    }

    fn deliver(&mut self, now: Ms) {
        let (arrived, rest) = std::mem::take(&mut self.network).into_iter().partition(|(at, ..)| *at <= now);
        self.network = rest;
        let arrived: Vec<(Ms, usize, Datagram)> = arrived;
        for (_, to, datagram) in arrived {
            let gateway = &mut self.gateways[to];
            if !gateway.is_running {
                continue;
            }
            match datagram {
                Datagram::Report(from, sent_at, bytes) => {
                    let report: MemberReport = wire::decode(&bytes).expect("a report of this build");
                    let is_newer = gateway
                        .reports
                        .get(&from)
                        .is_none_or(|(_, previous)| previous.sequence < report.sequence);
                    if is_newer {
                        gateway.reports.insert(from, (sent_at, report));
                    }
                }
                Datagram::Budget(from, bytes) => {
                    let message: Message = wire::decode(&bytes).expect("a message of this build");
                    let share = gateway.view.traffic_shares.get(&(from as u64)).copied().unwrap_or(0);
                    if let Ok(Some(reply)) = gateway.budget.handle_message(now, from as u64, &message, share)
                    {
                        let bytes = wire::encode(&reply).expect("a message within the maximum size");
                        self.send(now, from, Datagram::Budget(to, bytes));
                    }
                }
            }
        }
    }

    /// Has one gateway evaluate the reports that it has received, and send its own.
    fn update_gateway(&mut self, now: Ms, n: usize, wait: Ms) {
        let gateway = &mut self.gateways[n];
        let queue_waits = vec![RoleQueueWait { role: 0, wait, target: QUEUE_WAIT_TARGET }];
        let pressure = queue_waits[0].pressure();
        gateway.sequence += 1;
        let report = MemberReport {
            incarnation: 1,
            sequence: gateway.sequence,
            desired_level: gateway.desired.step(now, pressure),
            pressure,
            queue_waits,
            classes: gateway.class_rates.values().copied().collect(),
            work_by_band: gateway.work_by_band.iter().map(|(b, w)| (*b, *w)).collect(),
            observed_fleet_attempts: None,
            spare_units: vec![gateway.budget.spare_units(now)],
        };
        // Rates decay over about a second.
        for c in gateway.class_rates.values_mut() {
            for count in [
                &mut c.arrivals,
                &mut c.marked_retries,
                &mut c.rejected,
                &mut c.first_attempts,
                &mut c.attempts,
            ] {
                *count = *count * 4 / 5;
            }
        }
        gateway.work_by_band.values_mut().for_each(|w| *w = *w * 4 / 5);
        if !self.exchanges_messages {
            let level = gateway.standalone.step(now, &report);
            let own = [ReceivedReport { member: 0, age: 0, report }];
            gateway.admission.update(
                level,
                Amplification::from_reports(&own).retry_pressure(),
                gateway.standalone.work_by_band(),
            );
            return;
        }
        gateway.reports.insert(n, (now, report.clone()));
        let reports = gateway.reports.iter().map(|(from, (sent_at, report))| ReceivedReport {
            member: *from as u64,
            age: now - sent_at,
            report: report.clone(),
        });
        let reports: Vec<ReceivedReport> = reports.collect();
        gateway.view = FleetView::from_reports(&reports);
        let level = gateway.applied.step(now, gateway.view.level);
        gateway.admission.update(
            level,
            Amplification::from_reports(&reports).retry_pressure(),
            &gateway.view.work_by_band,
        );
        let offer = |(from, (sent_at, report)): (&usize, &(Ms, MemberReport))| {
            let units =
                report.spare_units.first().copied().filter(|_| *from != n && now - sent_at < 1_500)?;
            Some(LendingOffer { lender: *from as u64, units })
        };
        let offers: Vec<LendingOffer> = gateway.reports.iter().filter_map(offer).collect();
        let lease_requests = gateway.budget.due_lease_requests(now, &offers);
        let bytes = wire::encode(&report).expect("a report within the maximum size");
        // A member counts as unreachable once its last report is too old to count.
        let others = (0..GATEWAY_COUNT).filter(|other| *other != n);
        let (reachable, unreachable): (Vec<usize>, Vec<usize>) = others.partition(|other| {
            gateway.reports.get(other).is_some_and(|(sent_at, _)| now - sent_at < MAX_REPORT_AGE)
        });
        let members = |of: Vec<usize>| of.into_iter().map(|m| m as u64).collect::<Vec<_>>();
        let share_requests =
            gateway.budget.due_share_requests(now, &members(reachable), &members(unreachable));
        let lease_requests =
            lease_requests.into_iter().map(|(to, request)| (to, Message::LeaseRequest(request)));
        let share_requests =
            share_requests.into_iter().map(|(to, request)| (to, Message::ShareRequest(request)));
        for (to, message) in lease_requests.chain(share_requests).collect::<Vec<_>>() {
            let message = wire::encode(&message).expect("a message within the maximum size");
            self.send(now, to as usize, Datagram::Budget(n, message));
        }
        for to in (0..GATEWAY_COUNT).filter(|to| *to != n) {
            self.send(now, to, Datagram::Report(n, now, bytes.clone()));
        }
    }
}

impl AdmissionPolicy for CoordinatedGateways {
    fn tick(&mut self, now: Ms, wait: Ms) {
        self.deliver(now);
        for n in 0..GATEWAY_COUNT {
            if self.gateways[n].is_running && (now + 70 * n as Ms).is_multiple_of(REPORT_INTERVAL) {
                self.update_gateway(now, n, wait);
            }
        }
    }

    fn stop_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].is_running = false;
    }

    fn admits(&mut self, now: Ms, gateway: usize, turn: &Turn, _: Ms) -> bool {
        let gateway = &mut self.gateways[gateway];
        let request = Request { band: turn.band, session: turn.session, is_later_turn: turn.is_later_turn };
        let admitted = gateway.admission.decide(now, &request) == Decision::Admitted;
        let rates = gateway
            .class_rates
            .entry(turn.class)
            .or_insert(ClassRates { class: turn.class, ..ClassRates::default() });
        rates.arrivals += 1_000;
        rates.marked_retries += u32::from(turn.is_marked_retry) * 1_000;
        rates.rejected += u32::from(!admitted) * 1_000;
        if !turn.is_marked_retry {
            *gateway.work_by_band.entry(request.effective_band()).or_default() += turn.work;
        }
        admitted
    }

    fn record_attempt(&mut self, now: Ms, gateway: usize, turn: &Turn, is_first: bool) {
        let gateway = &mut self.gateways[gateway];
        let rates = gateway
            .class_rates
            .entry(turn.class)
            .or_insert(ClassRates { class: turn.class, ..ClassRates::default() });
        rates.attempts += 1_000;
        rates.first_attempts += u32::from(is_first) * 1_000;
        if is_first {
            gateway.retry_limiter.record_first_attempt(now);
        }
    }

    fn may_retry(&mut self, now: Ms, gateway: usize) -> bool {
        let gateway = &mut self.gateways[gateway];
        gateway.retry_limiter.try_retry(now)
            && gateway.budget.try_spend(now).is_some_and(|permit| permit.is_valid(now))
    }

    fn record_served(&mut self, now: Ms, gateway: usize, turn: &Turn) {
        self.gateways[gateway].admission.record_served(now, turn.session);
    }
}
