//! Questions to other nodes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_model::RunOrigin;
use dappleyard_streams::{Answer, Asked, StreamAnswer, StreamAnswers, StreamKey, StreamTable};
use googletest::prelude::*;

fn node(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn origin() -> RunOrigin {
    RunOrigin {
        service: "llm".to_owned(),
        version: "v1".parse().ok(),
    }
}

fn answers(number: u32, answer: &Answer) -> StreamAnswers {
    StreamAnswers {
        answers: vec![StreamAnswer::new(number, answer)],
    }
}

/// Asks about a stream; the nodes give the answers in turn.
async fn ask(given: &[(u16, Answer)], awaited: &[u16]) -> Asked {
    let table = Arc::new(StreamTable::default());
    let asking = table.ask(Some(StreamKey(1)), "llm");
    let answering = async {
        table.wait_for_questions().await;
        let questions = table.take_questions();
        let number = questions[0].number;
        let awaited: HashSet<SocketAddr> = awaited.iter().map(|number| node(*number)).collect();
        table.note_sent(number, awaited);
        for (sender, answer) in given {
            table.note_answers(answers(number, answer), node(*sender));
        }
    };
    let (asked, ()) = tokio::join!(asking, answering);
    expect_that!(table.has_questions(), eq(false));
    asked
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn record_ends_the_wait() {
    let started = tokio::time::Instant::now();
    let asked = ask(
        &[(1, Answer::Unknown), (2, Answer::Began(origin()))],
        &[1, 2, 3],
    )
    .await;
    expect_that!(asked.complete, eq(true));
    expect_that!(asked.answers.last(), some(eq(&Answer::Began(origin()))));
    expect_that!(started.elapsed(), eq(Duration::ZERO));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn all_answers_end_the_wait() {
    let started = tokio::time::Instant::now();
    let asked = ask(&[(1, Answer::Unknown), (2, Answer::Unknown)], &[1, 2]).await;
    expect_that!(asked.complete, eq(true));
    expect_that!(started.elapsed(), eq(Duration::ZERO));
    expect_that!(ask(&[], &[]).await.complete, eq(true));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn silence_is_incomplete() {
    // The second answer of a node does not stand for another one.
    let asked = ask(&[(1, Answer::Unknown), (1, Answer::Unknown)], &[1, 2]).await;
    expect_that!(asked.complete, eq(false));
    expect_that!(asked.answers, len(eq(1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_question_is_sent_again() {
    let table = StreamTable::default();
    let asking = table.ask(None, "llm");
    let sending = async {
        table.wait_for_questions().await;
        let mut sends = 0;
        while table.has_questions() {
            expect_that!(table.take_questions(), len(eq(1)));
            sends += 1;
        }
        sends
    };
    let (_, sends) = tokio::join!(asking, sending);
    expect_that!(sends, eq(4));
}
