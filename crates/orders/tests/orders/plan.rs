//! Tests of the planner and the fencing numbers.

use cyc_orders::{Fence, Observed, Order, Role, next_order};
use googletest::prelude::*;

use crate::fake::{desired, state};

#[gtest]
fn orders_unload_then_load_then_set_the_role() -> Result<()> {
    let desired = desired("v2", Role::Decode)?;
    let bytes = desired.models[&"quill".parse()?].bytes;
    let unload_adapter = Order::UnloadAdapter {
        adapter: "old".parse()?,
    };
    let unload_model = Order::UnloadModel {
        model: "old".parse()?,
    };
    let load_model = Order::LoadModel {
        model: "quill".parse()?,
        version: "v2".into(),
        bytes,
    };
    let load_adapter = Order::LoadAdapter {
        adapter: "league".parse()?,
        model: "quill".parse()?,
        version: "v2".into(),
        bytes,
    };
    let set_role = Order::SetRole { role: Role::Decode };
    let table = [
        (state(&["old"], &["old"], "v1")?, Some(unload_adapter)),
        (state(&["old", "quill"], &[], "v1")?, Some(unload_model)),
        (state(&[], &[], "v1")?, Some(load_model.clone())),
        (state(&["quill"], &["league"], "v1")?, Some(load_model)),
        (state(&["quill"], &[], "v2")?, Some(load_adapter)),
        (state(&["quill"], &["league"], "v2")?, Some(set_role)),
        (
            Observed {
                role: Role::Decode,
                ..state(&["quill"], &["league"], "v2")?
            },
            None,
        ),
        (
            Observed {
                busy: true,
                ..state(&[], &[], "v1")?
            },
            None,
        ),
    ];
    for (observed, expected) in table {
        expect_that!(
            next_order(&desired, &observed),
            eq(&expected),
            "{observed:?}"
        );
    }
    Ok(())
}

#[gtest]
fn fencing_numbers_increase_with_orders_and_incarnations() -> Result<()> {
    let first = Fence::new(3).and_then(Fence::next).or_fail()?;
    expect_that!(first.get(), eq((3 << 20) + 1));
    expect_that!(first.incarnation(), eq(3));
    expect_that!(first.to_string().parse::<Fence>()?, eq(first));
    let mut last = first;
    while let Some(next) = last.next() {
        expect_true!(next > last);
        last = next;
    }
    expect_that!(last.incarnation(), eq(3));
    expect_true!(Fence::new(4).is_some_and(|next| next > last));
    expect_that!(Fence::new(u64::MAX), none());
    Ok(())
}
