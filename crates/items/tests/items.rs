//! Splitting of JSON documents: values that a decoder rejects stay within their own bounds.

use cyc_items::{Raw, SplitError};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use serde_json::{Value, json};

#[gtest]
fn values_that_no_decoder_accepts_leave_the_others_whole() {
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let bad: [&[u8]; 8] = [
        br#""\udcff""#,
        b"1e400",
        deep.as_bytes(),
        b"\"\xff\"",
        b"\"\\\xff\"",
        b"\"\x00\"",
        b"-Infinity",
        br#"{"a":"]\"},","b":nan}"#,
    ];
    for value in bad {
        let document = [b"{\"items\" : [ 1 ,", value, b", {\"x\":2} ], \"end\": 7}"].concat();
        let raw = Raw::new(&document);
        let items = raw.get("items").unwrap().elements().unwrap();
        expect_that!(items.len(), eq(3));
        expect_that!(items[0].decode::<u64>(), ok(eq(&1)));
        expect_that!(items[1].decode::<Value>(), err(anything()));
        expect_that!(items[1].bytes(), eq(value));
        expect_that!(items[2].get("x").unwrap().decode::<u64>(), ok(eq(&2)));
        expect_that!(raw.get("end").unwrap().decode::<u64>(), ok(eq(&7)));
    }
}

#[gtest]
fn documents_without_bounds_are_refused() {
    let cases: [(&[u8], SplitError); 7] = [
        (b"", SplitError::NotArray),
        (b"{}", SplitError::NotArray),
        (b"[1", SplitError::Incomplete),
        (b"[1 2]", SplitError::Unexpected),
        (b"[1,]", SplitError::Unexpected),
        (b"[\"a]", SplitError::Incomplete),
        (b"[1] 2", SplitError::Unexpected),
    ];
    for (document, expected) in cases {
        expect_that!(
            Raw::new(document).elements(),
            err(eq(&expected)),
            "{document:?}"
        );
    }
    expect_that!(Raw::new(b"[]").fields(), err(eq(&SplitError::NotObject)));
    expect_that!(Raw::new(b" [ ] ").elements(), ok(is_empty()));
    expect_that!(Raw::new(b" { } ").fields(), ok(is_empty()));
}

#[gtest]
fn the_last_field_of_a_name_counts_and_escapes_are_decoded() {
    let raw = Raw::new(br#"{"a":1,"\u0061":2,"b":[3]}"#);
    expect_that!(raw.get("a").unwrap().decode::<u64>(), ok(eq(&2)));
    expect_that!(raw.get("c"), none());
    let rest = raw.without("a").unwrap();
    expect_that!(rest.as_slice(), eq(br#"{"b":[3]}"#.as_slice()));
}

/// Any bytes are split or refused; what the decoder accepts is split into the same parts.
#[gtest]
fn random_documents_never_panic_and_agree_with_the_decoder() {
    let mut rng = StdRng::seed_from_u64(7);
    let alphabet = b"[]{}\",:\\ 1etu\xff";
    for _ in 0..200_000 {
        let length = rng.random_range(0..24);
        let document: Vec<u8> = (0..length)
            .map(|_| alphabet[rng.random_range(0..alphabet.len())])
            .collect();
        let raw = Raw::new(&document);
        let (elements, fields) = (raw.elements(), raw.fields());
        match serde_json::from_slice::<Value>(&document) {
            Ok(Value::Array(values)) => {
                let split = elements.unwrap();
                let split = split.iter().map(|raw| raw.decode::<Value>().unwrap());
                assert_eq!(split.collect::<Vec<_>>(), values, "{document:?}");
            }
            Ok(Value::Object(values)) => {
                for (name, value) in values {
                    let found = raw.get(&name).unwrap().decode::<Value>().unwrap();
                    assert_eq!(found, value, "{document:?}");
                }
                assert!(fields.is_ok(), "{document:?}");
            }
            Ok(_) | Err(_) => {}
        }
    }
    expect_that!(Raw::new(b"{}").decode::<Value>(), ok(eq(&json!({}))));
}
