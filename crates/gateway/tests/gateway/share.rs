//! The wallet of prepaid tokens, case by case.

use cyc_gateway::share::{COVER, REREAD, Record, Role, Short, Wallet};
use cyc_types::{ClientAccountId, Millis, Tokens, Version};
use googletest::prelude::*;

/// The record of an account as the store keeps it.
type Kept = (Option<Version>, Record);

fn account() -> ClientAccountId {
    "club".parse().unwrap()
}

fn tokens(count: u64) -> Tokens {
    Tokens::new(count)
}

fn wallet(name: &str, paid: u64) -> Wallet {
    let mut wallet = Wallet::new(name.parse().unwrap(), 1);
    wallet.set_prepaid([(account(), tokens(paid))]);
    wallet
}

/// Reads `kept`, plans a write as `role` and makes it.
fn write_as(wallet: &mut Wallet, role: Role, kept: &mut Kept, now: Millis) -> bool {
    wallet.observe(&account(), kept.0, kept.1.clone(), now);
    let Some(plan) = wallet.plan(&account(), role, now) else {
        return false;
    };
    let version = Version::new(kept.0.map_or(0, Version::get) + 1);
    *kept = (Some(version), plan.record);
    wallet.written(&account(), version, now);
    true
}

fn write(wallet: &mut Wallet, kept: &mut Kept, now: Millis) -> bool {
    write_as(wallet, Role::Home, kept, now)
}

/// Uses `count` requests of `request` tokens, one each 100 ms, with writes as they come due.
fn use_up(wallet: &mut Wallet, kept: &mut Kept, request: Tokens, count: u64) -> Millis {
    let mut now = Millis::ZERO;
    for _ in 0..count {
        wallet.want(&account(), request);
        write(wallet, kept, now);
        wallet.unwant(&account(), request);
        if let Ok(reservation) = wallet.reserve(&account(), request, now) {
            wallet.settle(&reservation, request, now);
        }
        now += Millis::new(100);
    }
    now
}

#[gtest]
fn a_request_gets_tokens_only_after_a_draw() {
    let mut wallet = wallet("vm-1", 100_000);
    let mut kept = Kept::default();
    let short = wallet.reserve(&account(), tokens(5_000), Millis::ZERO);
    expect_that!(short, err(eq(&Short::Unknown)));
    wallet.want(&account(), tokens(5_000));
    expect_true!(write(&mut wallet, &mut kept, Millis::ZERO));
    let reserved = wallet.reserve(&account(), tokens(5_000), Millis::ZERO);
    expect_that!(reserved, ok(anything()));
}

#[gtest]
fn the_reason_of_a_shortage_tells_what_helps() {
    let now = Millis::ZERO;
    let mut kept = Kept::default();
    let mut first = wallet("vm-1", 100_000);
    first.want(&account(), tokens(60_000));
    write(&mut first, &mut kept, now);
    let mut second = wallet("vm-2", 100_000);
    second.observe(&account(), kept.0, kept.1.clone(), now);
    let cases = [
        (30_000, Short::Drawable),
        (70_000, Short::Elsewhere),
        (100_001, Short::Exhausted),
    ];
    for (worst, expected) in cases {
        let short = second.reserve(&account(), tokens(worst), now);
        expect_that!(short, err(eq(&expected)), "{worst}");
    }
    // What was read long ago proves nothing: tokens may have been returned since.
    let later = REREAD + Millis::new(1);
    let short = second.reserve(&account(), tokens(100_001), later);
    expect_that!(short, err(eq(&Short::Elsewhere)));
}

/// Pattern: the store is away for several seconds while callers go on as before.
#[gtest]
fn what_is_kept_covers_an_outage_at_the_measured_rate() {
    let mut wallet = wallet("vm-1", 10_000_000);
    let request = tokens(1_000);
    let now = use_up(&mut wallet, &mut Kept::default(), request, 100);
    let mut served = 0;
    while wallet.reserve(&account(), request, now).is_ok() {
        served += 1;
    }
    // 10 requests a second; the measured rate and a draw at three quarters allow some less.
    let outage_s = COVER.get() / 1_000;
    expect_that!(served, ge(outage_s * 10 * 6 / 10));
    expect_that!(served, le(outage_s * 10 * 16 / 10));
}

/// Pattern: all entries are killed. What they held is lost to the account, so it is bounded.
#[gtest]
fn a_home_holds_a_bounded_part_of_what_is_left() {
    let paid = 1_000_000;
    let mut kept = Kept::default();
    let mut wallet = wallet("vm-1", paid);
    use_up(&mut wallet, &mut kept, tokens(5_000), 100);
    let held = wallet.holding(&account()).0.get();
    let left = paid - kept.1.drawn.get() + held;
    expect_that!(held, gt(0));
    expect_that!(held, le(left * 16 / 100), "held {held} of {left}");
}

/// Pattern: many entries with callers of one account. Only its home writes the record.
#[gtest]
fn entries_that_are_no_home_leave_the_record_alone() {
    let mut wallet = wallet("vm-1", 1_000_000);
    wallet.want(&account(), tokens(5_000));
    let now = Millis::new(100);
    expect_that!(wallet.due(|_| Role::Guest, now), is_empty());
    expect_that!(wallet.due(|_| Role::Home, now), len(eq(1)));
    // Until the home is out and this entry stands in for it.
    wallet.stand_in(&account(), now);
    expect_that!(wallet.due(|_| Role::Guest, now), len(eq(1)));
    let mut kept = Kept::default();
    expect_true!(write_as(&mut wallet, Role::Guest, &mut kept, now));
    expect_that!(kept.1.drawn, eq(tokens(5_000)));
    let later = now + Millis::new(10_000);
    expect_that!(wallet.due(|_| Role::Guest, later), is_empty());
}

/// Pattern: two entries take themselves for the home. A write of one that does not know the
/// other's meets another version; nothing is drawn twice.
#[gtest]
fn a_write_over_another_version_draws_nothing() {
    let now = Millis::ZERO;
    let mut kept = Kept::default();
    let mut first = wallet("vm-1", 100_000);
    let mut second = wallet("vm-2", 100_000);
    second.observe(&account(), kept.0, kept.1.clone(), now);
    first.want(&account(), tokens(60_000));
    write(&mut first, &mut kept, now);
    second.want(&account(), tokens(60_000));
    let plan = second.plan(&account(), Role::Home, now).unwrap();
    expect_that!(plan.base, none());
    second.conflicted(&account());
    expect_that!(second.holding(&account()).0, eq(Tokens::ZERO));
    expect_true!(second.must_read(&account(), Role::Home, now));
    second.observe(&account(), kept.0, kept.1.clone(), now);
    let plan = second.plan(&account(), Role::Home, now).unwrap();
    expect_that!(plan.record.drawn, le(tokens(100_000)));
}

#[gtest]
fn a_planned_stop_returns_what_is_not_reserved() {
    let mut wallet = wallet("vm-1", 1_000_000);
    let mut kept = Kept::default();
    wallet.want(&account(), tokens(50_000));
    write(&mut wallet, &mut kept, Millis::ZERO);
    wallet.unwant(&account(), tokens(50_000));
    let reservation = wallet
        .reserve(&account(), tokens(10_000), Millis::ZERO)
        .unwrap();
    wallet.close();
    expect_that!(wallet.unreturned(), len(eq(1)));
    expect_true!(write(&mut wallet, &mut kept, Millis::new(10)));
    expect_that!(kept.1.drawn, eq(tokens(10_000)));
    expect_that!(wallet.unreturned(), is_empty());
    wallet.settle(&reservation, tokens(4_000), Millis::new(20));
    expect_true!(write(&mut wallet, &mut kept, Millis::new(30)));
    expect_that!(kept.1.drawn, eq(tokens(4_000)));
}

/// Pattern: all entries lose power again and again. The account keeps most of what it paid.
#[gtest]
fn repeated_kills_cost_a_bounded_part() {
    let paid = 2_000_000;
    let mut kept = Kept::default();
    let mut now = Millis::ZERO;
    let mut used = 0;
    let request = tokens(10_000);
    for start in 1..=8 {
        let mut wallet = Wallet::new("vm-1".parse().unwrap(), start);
        wallet.set_prepaid([(account(), tokens(paid))]);
        for _ in 0..30 {
            wallet.want(&account(), request);
            wallet.observe(&account(), kept.0, kept.1.clone(), now);
            if let Some(plan) = wallet.plan(&account(), Role::Home, now) {
                let version = Version::new(kept.0.map_or(0, Version::get) + 1);
                kept = (Some(version), plan.record);
                wallet.written(&account(), version, now);
            }
            wallet.unwant(&account(), request);
            if let Ok(reservation) = wallet.reserve(&account(), request, now) {
                wallet.settle(&reservation, request, now);
                used += request.get();
            }
            now += Millis::new(100);
        }
    }
    let held: u64 = kept
        .1
        .holders
        .values()
        .map(|holder| holder.unspent.get())
        .sum();
    let lost = kept.1.drawn.get() - used;
    expect_that!(lost, le(paid * 18 / 100), "used {used}");
    let counted = kept.1.lost.get() + held;
    expect_that!(counted, ge(lost * 9 / 10));
}

/// Pattern: an account is nearly used up while its last requests still run. What their prompts
/// have used is not left, so that others are told at once that the account is exhausted.
#[gtest]
fn prompts_that_run_are_not_left() {
    let mut wallet = wallet("vm-1", 10_000);
    let mut kept = Kept::default();
    wallet.want(&account(), tokens(9_000));
    write(&mut wallet, &mut kept, Millis::ZERO);
    wallet.unwant(&account(), tokens(9_000));
    let reservation = wallet
        .reserve(&account(), tokens(9_000), Millis::ZERO)
        .unwrap();
    let short = wallet.reserve(&account(), tokens(2_000), Millis::ZERO);
    expect_that!(short, err(eq(&Short::Elsewhere)));
    wallet.set_running(&reservation, tokens(8_900), true);
    let short = wallet.reserve(&account(), tokens(2_000), Millis::ZERO);
    expect_that!(short, err(eq(&Short::Exhausted)));
    wallet.set_running(&reservation, tokens(8_900), false);
    let short = wallet.reserve(&account(), tokens(2_000), Millis::ZERO);
    expect_that!(short, err(eq(&Short::Elsewhere)));
}

/// Pattern: all entries lose power when an account is nearly used up. What the record still shows
/// as held by starts that have ended is not left, so that callers are told at once.
#[gtest]
fn tokens_of_ended_holders_are_not_left() {
    let now = Millis::ZERO;
    let mut kept = Kept::default();
    let mut first = wallet("vm-1", 100_000);
    first.want(&account(), tokens(99_500));
    write(&mut first, &mut kept, now);
    let mut second = wallet("vm-2", 100_000);
    second.observe(&account(), kept.0, kept.1.clone(), now);
    let cases = [
        (Some(1), Short::Elsewhere),
        (Some(2), Short::Exhausted),
        (None, Short::Exhausted),
    ];
    for (start, expected) in cases {
        second.set_starts([("vm-1".parse().unwrap(), start)].into());
        let short = second.reserve(&account(), tokens(5_000), now);
        expect_that!(short, err(eq(&expected)), "{start:?}");
    }
    let held = kept.1.drawn;
    second.set_prepaid([(account(), tokens(200_000))]);
    second.want(&account(), tokens(200));
    expect_true!(write(&mut second, &mut kept, now));
    expect_that!(kept.1.lost, eq(held));
}

/// Pattern: an account is used up by several entries. What each of them has used since its last
/// draw is not left, and the record says so soon.
#[gtest]
fn holders_of_a_scarce_account_correct_the_record() {
    let mut kept = Kept::default();
    let mut first = wallet("vm-1", 100_000);
    let mut second = wallet("vm-2", 100_000);
    first.want(&account(), tokens(99_500));
    write(&mut first, &mut kept, Millis::ZERO);
    first.unwant(&account(), tokens(99_500));
    let reservation = first.reserve(&account(), tokens(99_500), Millis::ZERO);
    first.settle(&reservation.unwrap(), tokens(99_500), Millis::ZERO);
    expect_that!(first.due(|_| Role::Guest, Millis::new(900)), is_empty());
    let now = Millis::new(1_000);
    expect_that!(first.due(|_| Role::Guest, now), len(eq(1)));
    expect_true!(write_as(&mut first, Role::Guest, &mut kept, now));
    expect_that!(kept.1.drawn, eq(tokens(100_000)));
    expect_that!(first.due(|_| Role::Guest, now + now), is_empty());
    second.observe(&account(), kept.0, kept.1.clone(), now);
    let short = second.reserve(&account(), tokens(5_000), now);
    expect_that!(short, err(eq(&Short::Exhausted)));
}
