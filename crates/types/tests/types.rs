//! Tests of the shared types: text forms, the error table and the clock.

use cyc_types::{
    ClientAccountId, Clock, ErrorKind, Incarnation, Millis, Outcome, PerSecond, RequestId,
    ServiceId, Tokens, VmId, hash, size::ParseValueError,
};
use googletest::prelude::*;
use strum::IntoEnumIterator as _;

#[gtest]
fn ids_keep_their_text() -> Result<()> {
    for text in ["almaty-a", "vm.1", "a:b_c"] {
        let id: VmId = text.parse()?;
        expect_that!(id.to_string(), eq(text));
        let back: VmId = serde_json::from_str(&serde_json::to_string(&id)?)?;
        expect_that!(back, eq(&id));
    }
    let number: Tokens = "42".parse()?;
    expect_that!(number, eq(Tokens::new(42)));
    let rate: PerSecond = "2.5/s".parse()?;
    expect_that!(rate.to_string(), eq("2.5/s"));
    Ok(())
}

#[gtest]
fn malformed_ids_are_refused() -> Result<()> {
    let long = "x".repeat(129);
    for text in ["", "a b", "a/b", "ä", long.as_str()] {
        expect_that!(text.parse::<VmId>(), err(anything()));
        expect_that!(
            serde_json::from_str::<VmId>(&format!("{text:?}")),
            err(anything())
        );
    }
    for text in ["vm", "vm@", "@3", "vm@x"] {
        expect_that!(text.parse::<Incarnation>(), err(anything()));
    }
    let wrong: std::result::Result<Tokens, ParseValueError> = "-1".parse();
    expect_that!(
        wrong.map_err(|e| e.to_string()),
        err(contains_substring("Tokens"))
    );
    Ok(())
}

#[gtest]
fn a_key_names_one_request_of_one_account_at_one_service() -> Result<()> {
    let (club, league): (ClientAccountId, ClientAccountId) = ("club".parse()?, "league".parse()?);
    let (desk, shop): (ServiceId, ServiceId) = ("desk".parse()?, "shop".parse()?);
    let key = "deposit-17".parse()?;
    let id = RequestId::from_key(&club, &desk, &key);
    expect_that!(RequestId::from_key(&club, &desk, &key), eq(id));
    expect_that!(RequestId::from_key(&league, &desk, &key), not(eq(id)));
    expect_that!(RequestId::from_key(&club, &shop, &key), not(eq(id)));
    expect_that!(id.to_string().parse::<RequestId>()?, eq(id));
    Ok(())
}

#[gtest]
fn every_refusal_before_a_target_says_not_run() -> Result<()> {
    for kind in ErrorKind::iter() {
        let answer = kind.answer();
        let ran = matches!(
            kind,
            ErrorKind::DeadlineWhileRunning | ErrorKind::TargetFailed | ErrorKind::AnswerIncomplete
        );
        let unknown = matches!(kind, ErrorKind::OutcomeUnknown | ErrorKind::Internal);
        let want = match (ran, unknown) {
            (true, _) => Outcome::Ran,
            (_, true) => Outcome::Unknown,
            _ => Outcome::NotRun,
        };
        expect_that!(answer.outcome, eq(want), "{kind}");
        expect_that!((400..600).contains(&answer.status), eq(true), "{kind}");
        expect_that!(kind.to_string().parse::<ErrorKind>(), ok(eq(kind)));
    }
    Ok(())
}

#[gtest]
fn hashes_stay_the_same_between_releases() -> Result<()> {
    expect_that!(
        hash::hex(&hash::sha256(&[b"ab", b"c"]))[..8],
        eq("ba7816bf")
    );
    expect_that!(hash::stable(b"budget-1"), eq(hash::stable(b"budget-1")));
    let winners: std::collections::BTreeSet<_> = (0..64)
        .map(|key| u8::from(hash::rendezvous(key, "a") > hash::rendezvous(key, "b")))
        .collect();
    expect_that!(winners.len(), eq(2));
    Ok(())
}

#[gtest]
fn a_manual_clock_moves_only_by_hand() -> Result<()> {
    let clock = Clock::new_manual(Millis::new(5));
    let other = clock.clone();
    clock.advance(Millis::SECOND);
    expect_that!(other.now(), eq(Millis::new(1_005)));
    Ok(())
}
